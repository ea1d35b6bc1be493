#include "admission/preemption_budget.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(preemption_budget_test)
{
    preemption_budget budget;

    void earn(int grants)
    {
        for (int i = 0; i < grants; ++i) {
            budget.earn();
        }
    }
};

// Guards against more than one preemption per hundred grants.
TEST(preemption_budget_test, a_hundred_grants_earn_one_preemption)
{
    CHECK(!budget.covers(0.5));
    earn(101);
    CHECK(budget.covers(1));
    budget.spend(1);
    CHECK(!budget.covers(1));
}

// Guards against a burst of preemptions after a quiet period.
TEST(preemption_budget_test, at_most_two_preemptions_are_saved)
{
    earn(10'000);
    CHECK(budget.covers(2));
    CHECK(!budget.covers(2.01));
}
