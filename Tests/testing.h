#pragma once

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>

#include <string>
#include <vector>

/** A thin layer over CppUnit: each test case is named Area.Case and can be run alone. */
namespace rosemaryturn::testing
{
/** A registered test case. */
struct RegisteredTest
{
    std::string name;
    void (*body)();
};

/** @return all test cases of the program. */
std::vector<RegisteredTest> &registry();

/** Adds a test case to the registry during static initialisation. */
struct Registrar
{
    Registrar(const char *name, void (*body)());
};
}

#define TEST_CASE(area, name)                                                                                                                                  \
    static void area##name();                                                                                                                                  \
    static const rosemaryturn::testing::Registrar registrar##area##name(#area "." #name, area##name);                                                          \
    static void area##name()

#define CHECK(condition) CPPUNIT_ASSERT(condition)
#define CHECK_EQUAL(expected, actual) CPPUNIT_ASSERT_EQUAL(expected, actual)
#define CHECK_TEXT(expected, actual) CPPUNIT_ASSERT_EQUAL(std::string(expected), std::string(actual))
