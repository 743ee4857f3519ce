#include "testing.h"

#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

namespace rosemaryturn::testing
{
namespace
{
class FunctionTest final : public CppUnit::TestCase
{
public:
    explicit FunctionTest(const RegisteredTest &registered)
        : CppUnit::TestCase(registered.name)
        , m_body(registered.body)
    {
    }

    void runTest() override
    {
        m_body();
    }

private:
    void (*m_body)();
};
}

std::vector<RegisteredTest> &registry()
{
    static std::vector<RegisteredTest> cases;
    return cases;
}

Registrar::Registrar(const char *name, void (*body)())
{
    registry().push_back({name, body});
}
}

int main(int argc, char **argv)
{
    using namespace rosemaryturn::testing;
    const std::string wanted = argc > 1 ? argv[1] : "";
    CppUnit::TextUi::TestRunner runner;
    std::size_t selected = 0;
    for (const RegisteredTest &registered : registry()) {
        if (wanted.empty() || registered.name == wanted) {
            runner.addTest(new FunctionTest(registered)); // The runner owns its tests.
            ++selected;
        }
    }
    if (selected == 0) {
        std::cerr << "no case named " << wanted << '\n';
        return 2;
    }
    return runner.run("", false, true, false) ? 0 : 1;
}
