#include "config/jsonreader.h"
#include "config/memorymeter.h"

#include <algorithm>

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

/** Text of at most this size is charged at once, by the largest memory that text of its size can take: counting each value would cost more than parsing it. */
constexpr std::size_t maxFlatBytes = std::size_t{4} * 1024;
/** Largest memory of values relative to their text if nested at most maxJsonDepth deep: that of an array of empty objects. */
constexpr std::uint64_t maxMemoryFactor = 40;
/** Memory of a value in an array, which grows by doubling. */
constexpr std::uint64_t elementBytes = 3 * sizeof(nlohmann::json);
/** Memory of a member of an object, a node of a tree that holds the name and the value. */
constexpr std::uint64_t memberBytes = 96;
constexpr std::uint64_t stringBytes = 48;
constexpr std::uint64_t arrayBytes = 64;
constexpr std::uint64_t objectBytes = 64;
/** Texts up to this size are stored in the string itself. */
constexpr std::size_t maxInlineText = 15;

/** @return the greatest nesting depth of a JSON text; of other text, any number. */
int nestingDepth(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            i += character == '\\' ? 1 : 0;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            deepest = std::max(deepest, ++depth);
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return deepest;
}

/** Counts the memory of values while they are parsed. */
struct ValueCounter
{
    std::uint64_t arrayDepths = 0; ///< A bit for each nesting depth: whether the open value of that depth is an array.
    bool exceeded = false;
};

std::uint64_t heapBytes(const std::string &text)
{
    constexpr std::uint64_t allocatorBytes = 32;
    return text.size() <= maxInlineText ? 0 : text.size() + allocatorBytes;
}

/** @return the memory of a value when its start, its name or its text was read. @param depth depth of the value that contains it. */
std::uint64_t memoryOf(ValueCounter &counter, int depth, nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
{
    using Event = nlohmann::json::parse_event_t;
    const std::uint64_t bit = std::uint64_t{1} << static_cast<unsigned>(depth);
    const std::uint64_t ownBytes = depth > 0 && (counter.arrayDepths & (bit >> 1U)) != 0 ? elementBytes : 0;
    switch (event) {
    case Event::object_start:
        counter.arrayDepths &= ~bit;
        return ownBytes + objectBytes;
    case Event::array_start:
        counter.arrayDepths |= bit;
        return ownBytes + arrayBytes;
    case Event::key:
        return memberBytes + heapBytes(parsed.get_ref<const std::string &>());
    case Event::value:
        return ownBytes + (parsed.is_string() ? stringBytes + heapBytes(parsed.get_ref<const std::string &>()) : 0);
    default:
        return 0;
    }
}

nlohmann::json parseCounted(std::string_view text)
{
    if (text.size() <= maxFlatBytes) {
        return addJsonMemory(text.size() * maxMemoryFactor) ? nlohmann::json::parse(text, nullptr, false) : nlohmann::json(nlohmann::json::value_t::discarded);
    }
    ValueCounter counter;
    const auto count = [&counter](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
        counter.exceeded = counter.exceeded || !addJsonMemory(memoryOf(counter, depth, event, parsed));
        return !counter.exceeded; // Values that are left out take no memory.
    };
    nlohmann::json value = nlohmann::json::parse(text, count, false);
    return counter.exceeded ? nlohmann::json(nlohmann::json::value_t::discarded) : value;
}
}

nlohmann::json parseJson(std::string_view text, std::vector<FieldError> &errors)
{
    if (nestingDepth(text) > maxJsonDepth) {
        errors.push_back({model::Reason::MalformedJson, "", "", "must not be nested deeper than " + std::to_string(maxJsonDepth) + " levels"});
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    nlohmann::json value = parseCounted(text);
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
