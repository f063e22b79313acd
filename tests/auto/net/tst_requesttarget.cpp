#include "net/requesttarget.h"

#include <criterion/criterion.h>

using namespace jackdawlead;

// Guards against names that end a part of the target or begin another one: a store read another
// name then, and a list continued at the wrong place.
Test(requesttarget, namesAndValuesAreEscaped)
{
    const std::string name = "a&b+c#d%e f?g/h=i;j\"k\\l\n\xC3\xA9~-._Z9";
    const std::string expected = "a%26b%2Bc%23d%25e%20f%3Fg%2Fh%3Di%3Bj%22k%5Cl%0A%C3%A9~-._Z9";
    net::RequestTarget target("/objects");
    target.addSegment(name).addParameter(name, name).addParameter("n", std::uint64_t {7});
    cr_assert_eq(target.text(), "/objects/" + expected + "?" + expected + "=" + expected + "&n=7",
                 "%s", target.text().c_str());
}

// Guards against a name that holds %41 and is taken for one that holds A, and against a zero byte
// that ends a name.
Test(requesttarget, eachNameIsReadAsItWasWritten)
{
    std::string allBytes;
    for (int byte = 0; byte < 256; ++byte)
        allBytes.push_back(static_cast<char>(byte));
    for (const std::string &name :
         {std::string("%41"), std::string("%"), std::string("%%41"), std::string("a+b"),
          std::string("a&b=c"), std::string(), allBytes.substr(1), allBytes}) {
        cr_expect_eq(net::unescaped(net::escaped(name)), name, "%s", name.c_str());
        if (name.find('\0') != std::string::npos)
            continue;
        net::RequestTarget target("/objects");
        target.addParameter("before", "1").addParameter("after", name);
        const auto parsed = net::parseTarget(target.text());
        cr_assert(parsed.has_value());
        cr_expect_eq(parsed->path, "/objects");
        cr_expect_eq(parsed->parameter("after"), name, "%s", name.c_str());
    }
    cr_expect_neq(net::escaped("%41"), net::escaped("A"));
}

// Guards against a parameter that is found in the value of another one or in the path.
Test(requesttarget, parametersAreFoundByTheirWholeName)
{
    const auto parsed = net::parseTarget("/x;watch=1?y=watch=2&xwatch=3&watch=4&watch=5");
    cr_assert(parsed.has_value());
    cr_expect_eq(parsed->parameter("watch"), "4");
    cr_expect_eq(parsed->parameter("atch"), std::nullopt);
    cr_expect_eq(net::parseTarget("/x")->parameter("watch"), std::nullopt);
}
