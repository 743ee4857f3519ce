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
/** A validation error in a JSON text. */
struct FieldError
{
    model::Reason reason = model::Reason::None;
    std::string pointer; ///< JSON pointer to the value.
    std::string value; ///< Value found, truncated.
    std::string remedy; ///< Requirement that the value violates, or how to correct it.
};

/** Maximum nesting depth. */
constexpr int maxJsonDepth = 32;

/**
 * Parses a JSON text; comments and trailing text are errors. Its memory is counted by the meter of the thread, config/memorymeter.h.
 * @param text the text, in UTF-8.
 * @param errors receives a MalformedJson error.
 * @return the value; discarded if an error was added.
 */
nlohmann::json parseJson(std::string_view text, std::vector<FieldError> &errors);

/** @param error an error. @return one line with pointer, value and remedy. */
std::string describe(const FieldError &error);

/** @param errors errors. @return one line per error. */
std::string describeAll(const std::vector<FieldError> &errors);

/** Allowed range of an integer field and its default. */
struct NumberRange
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::uint64_t defaultValue = 0;
};

/** Reads the fields of a JSON object and reports the fields that were not requested. */
class ObjectReader
{
public:
    /**
     * @param value the JSON value; an error is added unless it is an object.
     * @param pointer JSON pointer to it.
     * @param errors receives the errors.
     */
    ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<FieldError> &errors);

    /** @param name a field. @param maxLength maximum length in bytes. @return its text; adds an error if missing or empty. */
    std::string requiredText(const char *name, std::size_t maxLength);
    /** @param name a field. @param defaultValue its text if missing. @param maxLength maximum length in bytes. @return its text. */
    std::string text(const char *name, const std::string &defaultValue, std::size_t maxLength);
    /** @param name a field. @param range its range and default. @return its number. */
    std::uint64_t number(const char *name, const NumberRange &range);
    /** @param name a field. @param range its range. @return its number; adds an error if missing. */
    std::uint64_t requiredNumber(const char *name, const NumberRange &range);
    /** @param name a field. @param defaultValue its value if missing. @return its value. */
    bool flag(const char *name, bool defaultValue);
    /** @param name a field. @return its object, or nullptr if missing or of another type. */
    const nlohmann::json *object(const char *name);
    /** @param name a field. @return its array, or nullptr if missing or of another type. */
    const nlohmann::json *array(const char *name);
    /** @param name a field of any type. @return its value, or nullptr if missing. */
    const nlohmann::json *field(const char *name);
    /** Adds an error for every field that was not requested. */
    void reportUnknownFields();
    /** @param name a field. @return the JSON pointer to it. */
    std::string pointerTo(std::string_view name) const;
    /** Adds an error about a field. @param name the field. @param reason the cause. @param remedy the requirement, or how to correct the field. */
    void addError(const char *name, model::Reason reason, const std::string &remedy);

private:
    const nlohmann::json *fieldOfType(const char *name, bool matches(const nlohmann::json &), const char *expected);

    const nlohmann::json &m_value;
    std::string m_pointer;
    std::vector<FieldError> &m_errors;
    std::set<std::string, std::less<>> m_requestedFields;
};
}
