//! Reads and checks configuration files: one base file and an overlay for each site.

use super::{ConfigFault, ConfigRecord, OrganisationConfig, RecordName, ServiceConfig, ServiceKind, SiteConfig};
use crate::SharedName;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// Result of reading a configuration, with all faults found as the error.
pub type Result<T> = std::result::Result<T, Vec<ConfigFault>>;

/// Top-level tables of a configuration file.
const SECTIONS: [&str; 3] = ["site", "services", "organisations"];
/// Longest name of a site, service or organisation.
const NAME_CHARS_MAX: usize = 64;
/// Accepted lengths of a usage window: up to one day.
const USAGE_WINDOW_SECONDS: std::ops::RangeInclusive<u64> = 1..=86_400;

/// A valid configuration, merged from its files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFile {
    /// Settings of the whole site.
    pub site: SiteConfig,
    /// Services by name.
    pub services: BTreeMap<SharedName, ServiceConfig>,
    /// Organisations by name.
    pub organisations: BTreeMap<SharedName, OrganisationConfig>,
}

impl ConfigFile {
    /// Parses and checks a base file and an optional overlay, each given as name and text. Values of the overlay
    /// replace those of the base file.
    ///
    /// Returns all faults found if the configuration is not valid.
    pub fn parse(base: (&str, &str), overlay: Option<(&str, &str)>) -> Result<Self> {
        let base_table = parse_table(base)?;
        let overlay_table = overlay.map(parse_table).transpose()?.unwrap_or_default();
        let origin =
            FileOrigin { base: base.0, overlay: overlay.map(|(name, _)| name), overlay_table: overlay_table.clone() };
        let mut merged = base_table;
        merge(&mut merged, overlay_table);
        parse_merged(&merged, &origin)
    }

    /// The configuration as records to store.
    #[must_use]
    pub fn records(&self) -> Vec<(RecordName, ConfigRecord)> {
        let site = (RecordName::Site, ConfigRecord::Site(self.site.clone()));
        let services = self
            .services
            .iter()
            .map(|(name, service)| (RecordName::Service(name.clone()), ConfigRecord::Service(service.clone())));
        let organisations = self.organisations.iter().map(|(name, organisation)| {
            (RecordName::Organisation(name.clone()), ConfigRecord::Organisation(organisation.clone()))
        });
        std::iter::once(site).chain(services).chain(organisations).collect()
    }
}

/// Files of a configuration, used to report the file that set a faulty value.
struct FileOrigin<'a> {
    /// Name of the base file.
    base: &'a str,
    /// Name of the overlay, if there is one.
    overlay: Option<&'a str>,
    /// Content of the overlay; empty if there is none.
    overlay_table: Table,
}

impl FileOrigin<'_> {
    /// Creates a fault of `key`. It names the overlay if the overlay sets the key, and the base file otherwise.
    fn fault(&self, key: &str, problem: impl Into<String>, remedy: impl Into<String>) -> ConfigFault {
        let mut value = self.overlay.map(|_| Value::Table(self.overlay_table.clone()));
        for segment in key.split('.') {
            value = value.and_then(|value| value.get(segment).cloned());
        }
        let file = match (value, self.overlay) {
            (Some(_), Some(overlay)) => overlay,
            _ => self.base,
        };
        ConfigFault { file: file.to_owned(), key: key.to_owned(), problem: problem.into(), remedy: remedy.into() }
    }
}

/// Parses a file, given as name and text. Returns a single fault if it is not valid TOML.
fn parse_table((name, text): (&str, &str)) -> Result<Table> {
    text.parse::<Table>().map_err(|error| {
        vec![ConfigFault {
            file: name.to_owned(),
            key: "(file)".to_owned(),
            problem: error.to_string().replace('\n', " "),
            remedy: "write valid TOML".to_owned(),
        }]
    })
}

/// Merges `overlay` into `base`, table by table. Other values of the overlay replace those of the base file.
fn merge(base: &mut Table, overlay: Table) {
    for (key, value) in overlay {
        match (base.get_mut(&key), value) {
            (Some(Value::Table(base)), Value::Table(overlay)) => merge(base, overlay),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}

/// Parses and checks the merged table. Returns all faults found.
fn parse_merged(merged: &Table, origin: &FileOrigin<'_>) -> Result<ConfigFile> {
    let mut faults = Vec::new();
    for key in merged.keys().filter(|key| !SECTIONS.contains(&key.as_str())) {
        faults.push(origin.fault(key, "unknown table", format!("use one of {}", SECTIONS.join(", "))));
    }
    let site = match merged.get("site") {
        Some(value) => parse_entry::<SiteConfig>("site", value, origin, &mut faults),
        None => {
            faults.push(origin.fault("site", "missing", "add a [site] table"));
            None
        }
    };
    let services = parse_section::<ServiceConfig>(merged, "services", origin, &mut faults);
    let organisations = parse_section::<OrganisationConfig>(merged, "organisations", origin, &mut faults);
    if let Some(site) = &site {
        check_site(site, origin, &mut faults);
    }
    check_services(&services, origin, &mut faults);
    check_organisations(&organisations, &services, merged, origin, &mut faults);
    match site {
        Some(site) if faults.is_empty() => Ok(ConfigFile { site, services, organisations }),
        _ => Err(faults),
    }
}

/// Parses the tables below `name`. Adds a fault for each entry that is not valid and leaves out those that don't parse.
fn parse_section<T: DeserializeOwned>(
    merged: &Table,
    name: &str,
    origin: &FileOrigin<'_>,
    faults: &mut Vec<ConfigFault>,
) -> BTreeMap<SharedName, T> {
    let Some(value) = merged.get(name) else { return BTreeMap::new() };
    let Some(table) = value.as_table() else {
        faults.push(origin.fault(name, "not a table", format!("write [{name}.NAME] tables")));
        return BTreeMap::new();
    };
    let mut entries = BTreeMap::new();
    for (key, value) in table {
        let path = format!("{name}.{key}");
        if !is_valid_name(key) {
            faults.push(origin.fault(&path, "invalid name", "use 1 to 64 of a-z, 0-9 and -"));
        }
        if let Some(entry) = parse_entry(&path, value, origin, faults) {
            entries.insert(SharedName::from(key.as_str()), entry);
        }
    }
    entries
}

/// Parses the table at the key `path`; adds a fault and returns `None` if that fails.
fn parse_entry<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    origin: &FileOrigin<'_>,
    faults: &mut Vec<ConfigFault>,
) -> Option<T> {
    match value.clone().try_into() {
        Ok(entry) => Some(entry),
        Err(error) => {
            let problem = error.to_string().trim().replace('\n', " ");
            let key = faulty_key(path, &problem, value);
            faults.push(origin.fault(&key, problem, "see docs/CONFIGURATION.md for the keys of this table"));
            None
        }
    }
}

/// Extends `path` by the field that the parser's message quotes in backticks, if the table has that field.
fn faulty_key(path: &str, problem: &str, value: &Value) -> String {
    let quoted = problem.split('`').nth(1).filter(|field| value.get(field).is_some());
    quoted.map_or_else(|| path.to_owned(), |field| format!("{path}.{field}"))
}

/// Whether `name` is allowed for a site, service or organisation: 1 to 64 of a-z, 0-9 and -.
fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= NAME_CHARS_MAX && name.chars().all(is_allowed)
}

/// Adds a fault for each invalid setting of the site.
fn check_site(site: &SiteConfig, origin: &FileOrigin<'_>, faults: &mut Vec<ConfigFault>) {
    if !is_valid_name(&site.name) {
        faults.push(origin.fault("site.name", "invalid name", "use 1 to 64 of a-z, 0-9 and -"));
    }
    if site.failure_domains.is_empty() {
        faults.push(origin.fault("site.failure_domains", "empty", "name at least one failure domain"));
    }
    if site.spend_ceiling_cents_per_hour < site.spend_floor_cents_per_hour {
        let key = "site.spend_ceiling_cents_per_hour";
        faults.push(origin.fault(
            key,
            "below spend_floor_cents_per_hour",
            "raise it to spend_floor_cents_per_hour or more",
        ));
    }
    if !USAGE_WINDOW_SECONDS.contains(&site.usage_window_seconds) {
        faults.push(origin.fault("site.usage_window_seconds", "out of range", "use 1 to 86400"));
    }
}

/// Adds a fault for each invalid setting of a service.
fn check_services(
    services: &BTreeMap<SharedName, ServiceConfig>,
    origin: &FileOrigin<'_>,
    faults: &mut Vec<ConfigFault>,
) {
    for (name, service) in services {
        let key = |field: &str| format!("services.{name}.{field}");
        if service.kind == ServiceKind::Engine && !service.open_paths.is_empty() {
            faults.push(origin.fault(
                &key("open_paths"),
                "set on a service of kind engine",
                "remove them; open paths are for plain services",
            ));
        }
        if service.open_paths.iter().any(|path| !path.starts_with('/')) {
            faults.push(origin.fault(
                &key("open_paths"),
                "a path does not start with a slash",
                "start each path with /",
            ));
        }
        if service.inflight_per_upstream == 0 {
            faults.push(origin.fault(&key("inflight_per_upstream"), "zero", "use 1 or more"));
        }
        if service.queue_depth == 0 {
            faults.push(origin.fault(&key("queue_depth"), "zero", "use 1 or more"));
        }
        if service.timeout_ms == 0 {
            faults.push(origin.fault(&key("timeout_ms"), "zero", "use 1 or more"));
        }
        if service.standing_per_domain > service.upstreams_per_domain {
            let problem = "more than upstreams_per_domain";
            faults.push(origin.fault(&key("standing_per_domain"), problem, "lower it or raise upstreams_per_domain"));
        }
    }
}

/// Adds a fault for each invalid setting of an organisation. A service whose own table is invalid counts as known,
/// since that table has a fault already.
fn check_organisations(
    organisations: &BTreeMap<SharedName, OrganisationConfig>,
    services: &BTreeMap<SharedName, ServiceConfig>,
    merged: &Table,
    origin: &FileOrigin<'_>,
    faults: &mut Vec<ConfigFault>,
) {
    let has_table = |service: &str| merged.get("services").and_then(|table| table.get(service)).is_some();
    for (name, organisation) in organisations {
        if organisation.weight == 0 {
            faults.push(origin.fault(&format!("organisations.{name}.weight"), "zero", "use 1 or more"));
        }
        for service in
            organisation.services.iter().filter(|service| !services.contains_key(*service) && !has_table(service))
        {
            let key = format!("organisations.{name}.services");
            faults.push(origin.fault(
                &key,
                format!("unknown service {service}"),
                "add its [services] table or correct the name",
            ));
        }
    }
}
