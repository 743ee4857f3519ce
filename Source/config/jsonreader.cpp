#include "config/jsonreader.h"

namespace rosemaryturn::config
{
namespace
{
constexpr std::size_t maxShownValueLength = 60;

std::string truncatedDump(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxShownValueLength) {
        text = text.substr(0, maxShownValueLength) + "...";
    }
    return text;
}
}

nlohmann::json parseJson(std::string_view text, std::vector<FieldError> &errors)
{
    bool tooDeep = false;
    const auto checkDepth = [&tooDeep](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxJsonDepth;
        return !tooDeep;
    };
    nlohmann::json value = nlohmann::json::parse(text, checkDepth, false);
    if (tooDeep) {
        errors.push_back({model::Reason::MalformedJson, "", "", "must not be nested deeper than " + std::to_string(maxJsonDepth) + " levels"});
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    if (value.is_discarded()) {
        errors.push_back({model::Reason::MalformedJson, "", "", "must be one well-formed JSON value in UTF-8"});
    }
    return value;
}

std::string describe(const FieldError &error)
{
    std::string text = error.pointer.empty() ? "/" : error.pointer;
    if (!error.value.empty()) {
        text += " has " + error.value;
    }
    return text + ": " + error.remedy;
}

std::string describeAll(const std::vector<FieldError> &errors)
{
    std::string text;
    for (const FieldError &error : errors) {
        if (!text.empty()) {
            text += '\n';
        }
        text += describe(error);
    }
    return text;
}

ObjectReader::ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<FieldError> &errors)
    : m_value(value)
    , m_pointer(std::move(pointer))
    , m_errors(errors)
{
    if (!value.is_object()) {
        errors.push_back({model::Reason::WrongType, m_pointer, truncatedDump(value), "must be a JSON object"});
    }
}

std::string ObjectReader::pointerTo(std::string_view name) const
{
    return m_pointer + "/" + std::string(name);
}

void ObjectReader::addError(const char *name, model::Reason reason, const std::string &remedy)
{
    const auto *value = field(name);
    m_errors.push_back({reason, pointerTo(name), value == nullptr ? "" : truncatedDump(*value), remedy});
}

const nlohmann::json *ObjectReader::field(const char *name)
{
    m_requestedFields.insert(name);
    if (!m_value.is_object()) {
        return nullptr;
    }
    const auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

const nlohmann::json *ObjectReader::fieldOfType(const char *name, bool matches(const nlohmann::json &), const char *expected)
{
    const nlohmann::json *value = field(name);
    if (value != nullptr && !matches(*value)) {
        addError(name, model::Reason::WrongType, std::string("must be ") + expected);
        return nullptr;
    }
    return value;
}

std::string ObjectReader::text(const char *name, const std::string &defaultValue, std::size_t maxLength)
{
    const nlohmann::json *value = fieldOfType(
        name,
        [](const nlohmann::json &json) {
            return json.is_string();
        },
        "a string");
    if (value == nullptr) {
        return defaultValue;
    }
    if (value->get_ref<const std::string &>().size() > maxLength) {
        addError(name, model::Reason::OutOfRange, "must not exceed " + std::to_string(maxLength) + " bytes");
        return defaultValue;
    }
    return value->get<std::string>();
}

std::string ObjectReader::requiredText(const char *name, std::size_t maxLength)
{
    if (field(name) == nullptr) {
        addError(name, model::Reason::MissingField, "required field; must be a string");
        return {};
    }
    const std::size_t before = m_errors.size();
    std::string result = text(name, "", maxLength);
    if (result.empty() && m_errors.size() == before) {
        addError(name, model::Reason::OutOfRange, "must not be empty");
    }
    return result;
}

std::uint64_t ObjectReader::number(const char *name, const NumberRange &range)
{
    const nlohmann::json *value = fieldOfType(
        name,
        [](const nlohmann::json &json) {
            return json.is_number();
        },
        "an integer");
    if (value == nullptr) {
        return range.defaultValue;
    }
    const bool isUnsigned = value->is_number_unsigned();
    const std::uint64_t result = isUnsigned ? value->get<std::uint64_t>() : 0;
    if (!isUnsigned || result < range.min || result > range.max) {
        addError(name, model::Reason::OutOfRange, "must be an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max));
        return range.defaultValue;
    }
    return result;
}

std::uint64_t ObjectReader::requiredNumber(const char *name, const NumberRange &range)
{
    if (field(name) == nullptr) {
        addError(name, model::Reason::MissingField, "required field; must be an integer");
        return range.defaultValue;
    }
    return number(name, range);
}

bool ObjectReader::flag(const char *name, bool defaultValue)
{
    const nlohmann::json *value = fieldOfType(
        name,
        [](const nlohmann::json &json) {
            return json.is_boolean();
        },
        "true or false");
    return value == nullptr ? defaultValue : value->get<bool>();
}

const nlohmann::json *ObjectReader::object(const char *name)
{
    return fieldOfType(
        name,
        [](const nlohmann::json &json) {
            return json.is_object();
        },
        "an object");
}

const nlohmann::json *ObjectReader::array(const char *name)
{
    return fieldOfType(
        name,
        [](const nlohmann::json &json) {
            return json.is_array();
        },
        "an array");
}

void ObjectReader::reportUnknownFields()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto &[name, value] : m_value.items()) {
        if (m_requestedFields.find(name) == m_requestedFields.end()) {
            m_errors.push_back({model::Reason::UnknownField, pointerTo(name), truncatedDump(value), "unknown field; remove it or correct its name"});
        }
    }
}
}
