#include "tests/support/odd_names.h"

namespace testing {

const std::vector<odd_name>& odd_names()
{
    static const std::vector<odd_name> out = {{"ampersand", "&"},
                                              {"plus sign", "+"},
                                              {"blank", " "},
                                              {"number sign", "#"},
                                              {"percent sign", "%"},
                                              {"escape", "%41"},
                                              {"malformed escape", "%zz"},
                                              {"quotation mark", "\""},
                                              {"backslash", "\\"},
                                              {"slash", "/"},
                                              {"question mark", "?"},
                                              {"equals sign", "="},
                                              {"DEL", "\x7f"},
                                              {"NUL", std::string(1, '\0')},
                                              {"line break", "\r\n"},
                                              {"header field", " HTTP/1.1\r\nHost: other\r\n\r\n"},
                                              {"letter of two bytes", "\xc3\xa9"},
                                              {"character of four bytes", "\xf0\x9f\x98\x80"},
                                              {"byte that is no text", "\xee\x83\xbf"},
                                              {"parameter", "&after=zzz"},
                                              {"watch parameter", "&watch=1"}};
    return out;
}

} // namespace testing
