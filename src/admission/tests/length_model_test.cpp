#include "admission/length_model.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(length_model_test)
{
    length_model lengths;
    length_key key{organisation_id("a"), workload_name("sheet"), model_name("m")};

    void finish(const length_key& at, std::int64_t length, int times)
    {
        for (int i = 0; i < times; ++i) {
            lengths.learn(at, {0}, {length}, true);
        }
        lengths.refresh();
    }

    double mean(const length_key& at, double produced)
    {
        return lengths.curve(at).remaining(produced, 32'000).mean;
    }
};

// Guards against forecasts that ignore the lengths of finished outputs.
TEST(length_model_test, mean_follows_finished_lengths)
{
    finish(key, 400, 300);
    CHECK(mean(key, 0) > 330 && mean(key, 0) < 480);
    CHECK(mean(key, 350) < 120);
}

// Guards against a new organisation starting from the prior although its workload is known.
TEST(length_model_test, few_samples_fall_back_to_the_workload)
{
    finish(key, 400, 300);
    const length_key other{organisation_id("b"), key.workload, key.model};
    CHECK(mean(other, 0) > 330 && mean(other, 0) < 480);
    const length_key unknown{organisation_id("b"), workload_name("other"), key.model};
    CHECK(mean(unknown, 0) > 300);
}

// Guards against a shift to longer outputs that takes effect only once the first of them have finished.
TEST(length_model_test, running_outputs_raise_the_forecast)
{
    finish(key, 200, 300);
    const double before = mean(key, 300);
    for (int i = 0; i < 100; ++i) {
        lengths.learn(key, {0}, {1500}, false);
    }
    lengths.refresh();
    CHECK(mean(key, 300) > 1000);
    CHECK(mean(key, 0) > 4 * 200);
    CHECK(mean(key, 300) > before);
}

// Guards against a forecast that stays at the old lengths because an organisation has few samples after its outputs
// became longer.
TEST(length_model_test, twenty_longer_outputs_outweigh_many_short_ones)
{
    finish(key, 200, 300);
    finish(key, 1500, 20);
    CHECK(mean(key, 0) > 800);
}

// Guards against expected tokens beyond the output limit.
TEST(length_model_test, the_limit_cuts_the_remaining_length)
{
    finish(key, 4000, 100);
    CHECK(lengths.curve(key).remaining(100, 150).mean <= 50);
    DOUBLES_EQUAL(0, lengths.curve(key).remaining(150, 150).mean, 1e-9);
}
