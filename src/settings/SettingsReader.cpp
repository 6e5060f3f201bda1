#include "settings/SettingsReader.h"

#include "common/Log.h"
#include "settings/SettingsError.h"
#include "settings/SettingsTables.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace lupinknot::internal {

namespace {

// Appends instead of using operator+: GCC 12 with -O3 wrongly warns of an overlap in `"\"" + text`.
std::string quoted(const std::string& text)
{
    std::string result(1, '"');
    result.append(text).append(1, '"');
    return result;
}

// Collects the errors of one file.
class ErrorCollector {
public:
    explicit ErrorCollector(std::string file)
        : m_file(std::move(file))
    {
    }

    void add(const toml::node* node, std::string key, std::string message)
    {
        const auto line = node ? node->source().begin.line : 0;
        m_errors.errors.push_back({ m_file, line, std::move(key), std::move(message) });
    }
    bool isEmpty() const { return m_errors.errors.empty(); }
    SettingsErrors takeErrors()
    {
        const auto isEarlier = [](const SettingsError& a, const SettingsError& b) { return a.line < b.line; };
        std::stable_sort(m_errors.errors.begin(), m_errors.errors.end(), isEarlier);
        return std::move(m_errors);
    }

private:
    std::string m_file;
    SettingsErrors m_errors;
};

std::string typeName(const toml::node& node)
{
    std::ostringstream text;
    text << node.type();
    return text.str();
}

std::string allowedDetectors()
{
    std::string names;
    for (const auto& row : detectorKindNames)
        names.append(names.empty() ? "" : ", ").append(row.name);
    return names;
}

// Stores the value of a TOML node in the member of a section that a field names. Each type of member has an overload of
// store(); it returns an error message if the value is not allowed.
template <typename Section> class FieldWriter {
public:
    FieldWriter(const SettingField<Section>& field, const toml::node& node, Section& section)
        : m_field(field)
        , m_node(node)
        , m_section(section)
    {
    }

    std::optional<std::string> write() const
    {
        return std::visit([this](auto member) { return store(member); }, m_field.member);
    }

private:
    std::optional<std::string> store(std::int64_t Section::*member) const
    {
        return storeNumber([&](std::int64_t value) { m_section.*member = value; });
    }

    std::optional<std::string> store(unsigned Section::*member) const
    {
        return storeNumber([&](std::int64_t value) { m_section.*member = static_cast<unsigned>(value); });
    }

    std::optional<std::string> store(Milliseconds Section::*member) const
    {
        return storeNumber([&](std::int64_t value) { m_section.*member = Milliseconds { value }; });
    }

    std::optional<std::string> store(std::string Section::*member) const
    {
        const auto value = m_node.value_exact<std::string>();
        if (!value)
            return wrongTypeMessage("a string");
        if (value->empty() && m_field.isRequired)
            return "expected a string that is not empty";
        m_section.*member = *value;
        return std::nullopt;
    }

    std::optional<std::string> store(bool Section::*member) const
    {
        const auto value = m_node.value_exact<bool>();
        if (!value)
            return wrongTypeMessage("true or false");
        m_section.*member = *value;
        return std::nullopt;
    }

    std::optional<std::string> store(DetectorKind Section::*member) const
    {
        const auto name = m_node.value_exact<std::string>();
        const auto value = name ? valueIn(detectorKindNames, *name) : std::nullopt;
        if (!value)
            return "expected one of " + allowedDetectors()
                + (name ? "; found \"" + *name + "\"" : "; found a value of type " + typeName(m_node));
        m_section.*member = *value;
        return std::nullopt;
    }

    std::optional<std::string> store(std::vector<std::string> Section::*member) const
    {
        const auto* array = m_node.as_array();
        if (!array)
            return wrongTypeMessage("a list of strings");
        std::vector<std::string> values;
        for (const auto& element : *array) {
            const auto value = element.value_exact<std::string>();
            if (!value)
                return wrongTypeMessage("a list of strings");
            values.push_back(*value);
        }
        m_section.*member = std::move(values);
        return std::nullopt;
    }

    template <typename Store> std::optional<std::string> storeNumber(Store&& storeValue) const
    {
        const auto value = m_node.value_exact<std::int64_t>();
        const auto range
            = "a whole number from " + std::to_string(m_field.minimum) + " to " + std::to_string(m_field.maximum);
        if (!value)
            return wrongTypeMessage(range);
        if (*value < m_field.minimum || *value > m_field.maximum)
            return "expected " + range + "; found " + std::to_string(*value);
        storeValue(*value);
        return std::nullopt;
    }

    std::string wrongTypeMessage(const std::string& expected) const
    {
        return "expected " + expected + "; found a value of type " + typeName(m_node);
    }

    const SettingField<Section>& m_field;
    const toml::node& m_node;
    Section& m_section;
};

// Reads one table into a section; reports unknown keys, values that are not allowed and missing required keys.
template <typename Section>
void readSection(const toml::table& table, const std::string& name, const std::vector<SettingField<Section>>& fields,
    Section& section, ErrorCollector& collector)
{
    for (const auto& entry : table) {
        const std::string_view key = entry.first;
        const auto hasKey = [key](const SettingField<Section>& field) { return field.key == key; };
        const auto field = std::find_if(fields.begin(), fields.end(), hasKey);
        const auto path = name + "." + std::string(key);
        if (field == fields.end()) {
            collector.add(&entry.second, path, "unknown key");
            continue;
        }
        if (auto problem = FieldWriter<Section>(*field, entry.second, section).write())
            collector.add(&entry.second, path, *problem);
    }
    for (const auto& field : fields) {
        if (field.isRequired && !table.contains(field.key))
            collector.add(&table, name + "." + std::string(field.key), "a value is required");
    }
}

// Reads the table [name]. A missing table counts as an empty one, so that its required keys are reported.
template <typename Section>
void readSingleSection(const toml::table& root, const char* name, const std::vector<SettingField<Section>>& fields,
    Section& section, ErrorCollector& collector)
{
    const toml::table empty;
    const auto* node = root.get(name);
    if (node && !node->is_table()) {
        collector.add(node, name, "expected a table [" + std::string(name) + "]");
        return;
    }
    readSection(node ? *node->as_table() : empty, name, fields, section, collector);
}

// Reads the array of tables [[name]], which may be missing.
template <typename Section>
void readRepeatedSection(const toml::table& root, const char* name, const std::vector<SettingField<Section>>& fields,
    std::vector<Section>& sections, ErrorCollector& collector)
{
    const auto* node = root.get(name);
    if (!node)
        return;
    const auto* array = node->as_array();
    if (!array || !array->is_array_of_tables()) {
        collector.add(node, name, "expected an array of tables [[" + std::string(name) + "]]");
        return;
    }
    for (const auto& element : *array) {
        Section section;
        readSection(*element.as_table(), name, fields, section, collector);
        sections.push_back(std::move(section));
    }
}

constexpr std::array<std::string_view, 13> sectionNames { "vm", "listener", "admin", "generation", "recovery",
    "silence", "ejection", "platform", "cluster", "journal", "peer", "endpoint", "service" };

void reportUnknownSections(const toml::table& root, ErrorCollector& collector)
{
    for (const auto& entry : root) {
        const std::string_view name = entry.first;
        if (std::find(sectionNames.begin(), sectionNames.end(), name) == sectionNames.end())
            collector.add(&entry.second, std::string(name), "unknown section");
    }
}

bool isIpAddress(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

// Checks what a field's table entry cannot express: address syntax, unique names and relations between values.
class ConsistencyCheck {
public:
    ConsistencyCheck(const toml::table& root, const DaemonSettings& settings, ErrorCollector& collector)
        : m_root(root)
        , m_settings(settings)
        , m_collector(collector)
    {
    }

    void check()
    {
        checkAddresses();
        checkSilence();
        checkLogLevel();
        checkPeers();
        checkEndpoints();
        checkServices();
    }

private:
    const toml::node* find(const std::string& path) const { return m_root.at_path(path).node(); }

    void expectIpAddress(const std::string& path, const std::string& value)
    {
        if (!value.empty() && !isIpAddress(value))
            m_collector.add(find(path), path, "expected an IP address; found \"" + value + "\"");
    }

    void checkAddresses()
    {
        expectIpAddress("listener.address", m_settings.listener.address);
        expectIpAddress("admin.address", m_settings.admin.address);
        expectIpAddress("platform.address", m_settings.platform.address);
    }

    void checkSilence()
    {
        if (m_settings.silence.floor > m_settings.silence.ceiling)
            m_collector.add(find("silence.floor_ms"), "silence.floor_ms",
                "expected a value not above silence.ceiling_ms, which is "
                    + std::to_string(m_settings.silence.ceiling.count()) + "; found "
                    + std::to_string(m_settings.silence.floor.count()));
    }

    void checkLogLevel()
    {
        if (!valueIn(logLevelNames, m_settings.vm.logLevel))
            m_collector.add(find("vm.log_level"), "vm.log_level",
                "expected debug, info, warning or error; found \"" + m_settings.vm.logLevel + "\"");
    }

    void checkPeers()
    {
        std::set<std::string> names { m_settings.vm.name };
        for (std::size_t i = 0; i < m_settings.peers.size(); ++i) {
            const auto& peer = m_settings.peers[i];
            const auto path = "peer[" + std::to_string(i) + "]";
            expectIpAddress(path + ".address", peer.address);
            if (!names.insert(peer.name).second)
                m_collector.add(find(path + ".name"), "peer.name",
                    "expected a name that differs from vm.name and from the other peers; found \"" + peer.name + "\"");
        }
    }

    void checkEndpoints()
    {
        for (std::size_t i = 0; i < m_settings.endpoints.size(); ++i) {
            const auto& endpoint = m_settings.endpoints[i];
            const auto path = "endpoint[" + std::to_string(i) + "]";
            expectIpAddress(path + ".address", endpoint.address);
            if (!m_endpointNames.insert(endpoint.name).second)
                m_collector.add(find(path + ".name"), "endpoint.name",
                    "expected a unique name; found \"" + endpoint.name + "\" again");
        }
    }

    void checkServices()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < m_settings.services.size(); ++i) {
            const auto& service = m_settings.services[i];
            const auto path = "service[" + std::to_string(i) + "]";
            if (!names.insert(service.name).second)
                m_collector.add(find(path + ".name"), "service.name",
                    "expected a unique name; found \"" + service.name + "\" again");
            if (!service.path.empty() && service.path.front() != '/')
                m_collector.add(find(path + ".path"), "service.path",
                    "expected a path that begins with \"/\"; found \"" + service.path + "\"");
            checkServiceEndpoints(service, path);
        }
    }

    void checkServiceEndpoints(const ServiceSettings& service, const std::string& path)
    {
        for (const auto& name : service.endpoints) {
            if (!m_endpointNames.count(name))
                m_collector.add(
                    find(path + ".endpoints"), "service.endpoints", "no [[endpoint]] has the name \"" + name + "\"");
        }
    }

    const toml::table& m_root;
    const DaemonSettings& m_settings;
    ErrorCollector& m_collector;
    std::set<std::string> m_endpointNames;
};

DaemonSettings readSections(const toml::table& root, ErrorCollector& collector)
{
    DaemonSettings settings;
    reportUnknownSections(root, collector);
    readSingleSection(root, "vm", vmFields, settings.vm, collector);
    readSingleSection(root, "listener", listenerFields, settings.listener, collector);
    readSingleSection(root, "admin", listenerFields, settings.admin, collector);
    readSingleSection(root, "generation", generationFields, settings.generation, collector);
    readSingleSection(root, "recovery", recoveryFields, settings.recovery, collector);
    readSingleSection(root, "silence", silenceFields, settings.silence, collector);
    readSingleSection(root, "ejection", ejectionFields, settings.ejection, collector);
    readSingleSection(root, "platform", platformFields, settings.platform, collector);
    readSingleSection(root, "cluster", clusterFields, settings.cluster, collector);
    readSingleSection(root, "journal", journalFields, settings.journal, collector);
    readRepeatedSection(root, "peer", peerFields, settings.peers, collector);
    readRepeatedSection(root, "endpoint", endpointFields, settings.endpoints, collector);
    readRepeatedSection(root, "service", serviceFields, settings.services, collector);
    ConsistencyCheck(root, settings, collector).check();
    return settings;
}

boost::leaf::result<DaemonSettings> readSettings(const toml::table& root, const std::string& fileName)
{
    ErrorCollector collector(fileName);
    auto settings = readSections(root, collector);
    if (!collector.isEmpty())
        return boost::leaf::new_error(collector.takeErrors());
    return settings;
}

boost::leaf::error_id syntaxError(const toml::parse_error& error, const std::string& fileName)
{
    const SettingsError found { fileName, error.source().begin.line, "", std::string(error.description()) };
    return boost::leaf::new_error(SettingsErrors { { found } });
}

// Formats the default of a field as in a TOML file.
struct DefaultFormatter {
    std::string operator()(std::int64_t value) const { return std::to_string(value); }
    std::string operator()(unsigned value) const { return std::to_string(value); }
    std::string operator()(Milliseconds value) const { return std::to_string(value.count()); }
    std::string operator()(const std::string& value) const { return quoted(value); }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(const std::vector<std::string>&) const { return "[]"; }
    std::string operator()(DetectorKind value) const { return quoted(std::string(nameIn(detectorKindNames, value))); }
};

template <typename Section>
void describeSection(std::ostream& out, const std::string& name, const std::vector<SettingField<Section>>& fields)
{
    out << "\n### " << name << "\n\n| key | default | allowed | what it is for |\n|---|---|---|---|\n";
    static const Section defaults {};
    for (const auto& field : fields) {
        const auto value = std::visit([&](auto member) { return DefaultFormatter {}(defaults.*member); }, field.member);
        out << "| `" << field.key << "` | " << (field.isRequired ? "required" : "`" + value + "`") << " | ";
        if (field.minimum != field.maximum)
            out << field.minimum << " to " << field.maximum;
        out << " | " << field.description << " |\n";
    }
}

} // namespace

boost::leaf::result<DaemonSettings> readSettingsFile(const std::string& path)
{
    try {
        return readSettings(toml::parse_file(path), path);
    } catch (const toml::parse_error& error) {
        return syntaxError(error, path);
    }
}

boost::leaf::result<DaemonSettings> readSettingsText(std::string_view text, const std::string& fileName)
{
    try {
        return readSettings(toml::parse(text, fileName), fileName);
    } catch (const toml::parse_error& error) {
        return syntaxError(error, fileName);
    }
}

std::string settingsReference()
{
    std::ostringstream out;
    describeSection(out, "[vm]", vmFields);
    describeSection(out, "[listener] (callers) and [admin] (operators)", listenerFields);
    describeSection(out, "[generation]", generationFields);
    describeSection(out, "[recovery]", recoveryFields);
    describeSection(out, "[silence]", silenceFields);
    describeSection(out, "[ejection]", ejectionFields);
    describeSection(out, "[platform]", platformFields);
    describeSection(out, "[cluster]", clusterFields);
    describeSection(out, "[journal]", journalFields);
    describeSection(out, "[[peer]]", peerFields);
    describeSection(out, "[[endpoint]]", endpointFields);
    describeSection(out, "[[service]]", serviceFields);
    return out.str();
}

} // namespace lupinknot::internal
