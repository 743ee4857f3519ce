#pragma once

#include "model/reason.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryturn::config
{
/** One thing that is wrong in a JSON text. */
struct FieldError
{
    model::Reason reason = model::Reason::None;
    std::string pointer; ///< JSON pointer to the place.
    std::string value; ///< What stands there, shortened.
    std::string remedy; ///< What to do.
};

/** Deepest nesting that is read. */
constexpr int maxJsonDepth = 32;

/**
 * Parses a JSON text strictly.
 * @param text the text, in UTF-8.
 * @param errors receives a MalformedJson error.
 * @return the value; discarded when an error was added.
 */
nlohmann::json parseJson(std::string_view text, std::vector<FieldError> &errors);

/** @param error an error. @return it in one line: place, value and remedy. */
std::string describe(const FieldError &error);

/** @param errors errors. @return all of them, a line each. */
std::string describeAll(const std::vector<FieldError> &errors);

/** Whole numbers that a field may have, with the one it has when missing. */
struct NumberRange
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::uint64_t defaultValue = 0;
};

/** Reads one JSON object field by field and reports every field that it was not asked for. */
class ObjectReader
{
public:
    /**
     * @param value what should be an object.
     * @param pointer JSON pointer to it.
     * @param errors receives what is wrong.
     */
    ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<FieldError> &errors);

    /** @param name a field. @param maxLength its longest text. @return its text; an error if missing. */
    std::string requiredText(const char *name, std::size_t maxLength);
    /** @param name a field. @param defaultValue its text when missing. @param maxLength its longest text. @return its text. */
    std::string text(const char *name, const std::string &defaultValue, std::size_t maxLength);
    /** @param name a field. @param range its range and default. @return its number. */
    std::uint64_t number(const char *name, const NumberRange &range);
    /** @param name a field. @param range its range. @return its number; an error if missing. */
    std::uint64_t requiredNumber(const char *name, const NumberRange &range);
    /** @param name a field. @param defaultValue its value when missing. @return its value. */
    bool flag(const char *name, bool defaultValue);
    /** @param name a field. @return the object there, or null when missing or of another type. */
    const nlohmann::json *object(const char *name);
    /** @param name a field. @return the array there, or null when missing or of another type. */
    const nlohmann::json *array(const char *name);
    /** @param name a field of any type. @return it, or null when missing. */
    const nlohmann::json *field(const char *name);
    /** Reports every field that was not asked for. */
    void reportUnknownFields();
    /** @param name a field. @return the JSON pointer to it. */
    std::string pointerTo(std::string_view name) const;
    /** Adds an error about a field. @param name the field. @param reason the cause. @param remedy what to do. */
    void addError(const char *name, model::Reason reason, const std::string &remedy);

private:
    const nlohmann::json *fieldOfType(const char *name, bool matches(const nlohmann::json &), const char *expected);

    const nlohmann::json &m_value;
    std::string m_pointer;
    std::vector<FieldError> &m_errors;
    std::set<std::string, std::less<>> m_requestedFields;
};
}
