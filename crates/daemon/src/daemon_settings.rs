//! Reads the settings of a daemon from flags and environment variables.

use clap::{Arg, ArgMatches, Command};
use pimentoslip_kernel::{AdmissionPolicy, RoutePolicy, SharedName, route_policy_names};
use std::net::SocketAddr;

/// Minimum length of the cluster secret and the operator key.
const SECRET_CHARS_MIN: usize = 16;

/// Missing or invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("--{flag} ({variable}): {problem}; {remedy}")]
pub struct SettingError {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Environment variable that sets the same value.
    pub variable: String,
    /// Reason why the value cannot be used.
    pub problem: String,
    /// Action that corrects the setting.
    pub remedy: String,
}

/// Settings of a daemon, checked when they are read.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the daemon, which must equal the name of its VM on the platform's VM list.
    pub name: SharedName,
    /// Failure domain of the daemon's VM.
    pub failure_domain: SharedName,
    /// Name of the site, which is part of every key in the key-value service.
    pub site: SharedName,
    /// Address of the public listener, for callers and trainers.
    pub listen_address: SocketAddr,
    /// Address of the control listener, for peers, operators and probes.
    pub control_listen_address: SocketAddr,
    /// Address of the key-value service, as `ip:port`.
    pub kv_address: SharedName,
    /// Address of the interface that accepts orders for upstreams, as `ip:port`.
    pub orders_address: SharedName,
    /// Address of the interface that accepts usage reports, as `ip:port`.
    pub usage_address: SharedName,
    /// Address of the interface that serves the VM list, as `ip:port`.
    pub vm_list_address: SharedName,
    /// Secret by which the daemons of the site authenticate to each other.
    pub cluster_secret: SharedName,
    /// Key by which operators authenticate.
    pub operator_key: SharedName,
    /// Policy that chooses the upstream of a request.
    pub route_policy: RoutePolicy,
    /// Policy that orders the waiting requests.
    pub admission_policy: AdmissionPolicy,
    /// Number of threads that serve the public listener.
    pub workers: usize,
    /// Maximum size of a request body.
    pub body_bytes_max: usize,
    /// Maximum number of connections of callers.
    pub connections_max: usize,
    /// Memory of the process in mebibytes.
    pub memory_mib: usize,
    /// Descriptors that the process may open.
    pub descriptors_max: usize,
    /// Minimum time between two group commits of claims.
    pub claim_interval_ms: u64,
    /// Time for which a shutdown still accepts requests, so that the balancer can notice the failing readiness probe.
    pub drain_grace_ms: u64,
    /// Maximum time for which a shutdown waits for running requests.
    pub drain_timeout_ms: u64,
    /// Whether slow samples are hedged, that is started a second time while the first attempt is still running.
    pub hedging: bool,
}

/// Command line flag of a setting.
struct SettingSpec {
    flag: &'static str,
    help: &'static str,
    /// Default value; a setting without one is required.
    default: Option<&'static str>,
}

/// All settings, with the flags that operators use.
const SETTING_SPECS: &[SettingSpec] = &[
    SettingSpec {
        flag: "name",
        help: "Name of this daemon, equal to the name of its VM on the VM list",
        default: None,
    },
    SettingSpec { flag: "failure-domain", help: "Failure domain of this VM", default: None },
    SettingSpec { flag: "site", help: "Name of the site", default: None },
    SettingSpec {
        flag: "listen",
        help: "Address to listen on for callers and trainers, ip:port",
        default: Some("127.0.0.1:8080"),
    },
    SettingSpec {
        flag: "control-listen",
        help: "Address to listen on for peers, operators and probes, ip:port",
        default: Some("127.0.0.1:8081"),
    },
    SettingSpec { flag: "kv", help: "Address of the key-value service, ip:port", default: None },
    SettingSpec { flag: "orders", help: "Address of the interface for orders, ip:port", default: None },
    SettingSpec { flag: "usage", help: "Address of the interface for usage reports, ip:port", default: None },
    SettingSpec { flag: "vms", help: "Address of the interface with the VM list, ip:port", default: None },
    SettingSpec { flag: "cluster-secret", help: "Secret shared by all daemons of the site", default: None },
    SettingSpec { flag: "operator-key", help: "Key by which operators authenticate", default: None },
    SettingSpec {
        flag: "route-policy",
        help: "Policy that chooses the upstream of a request",
        default: Some("prefix-two-choices"),
    },
    SettingSpec { flag: "admission-policy", help: "Policy that orders the waiting requests", default: Some("fair") },
    SettingSpec { flag: "workers", help: "Number of threads that serve callers", default: Some("1") },
    SettingSpec { flag: "body-bytes-max", help: "Maximum size of a request body in bytes", default: Some("4194304") },
    SettingSpec { flag: "connections-max", help: "Maximum number of connections of callers", default: Some("4096") },
    SettingSpec {
        flag: "memory-mib",
        help: "Memory of the process in mebibytes; its clients may use a quarter of it",
        default: Some("1024"),
    },
    SettingSpec {
        flag: "descriptors-max",
        help: "Descriptors that the process may open; callers may take half of them",
        default: Some("8392"),
    },
    SettingSpec {
        flag: "claim-interval-ms",
        help: "Minimum time between group commits of claims, in milliseconds",
        default: Some("20"),
    },
    SettingSpec {
        flag: "drain-grace-ms",
        help: "Time for the balancer to notice a shutdown, in milliseconds",
        default: Some("2000"),
    },
    SettingSpec {
        flag: "drain-timeout-ms",
        help: "Maximum time that a shutdown waits for requests, in milliseconds",
        default: Some("600000"),
    },
    SettingSpec {
        flag: "hedging",
        help: "Whether slow samples are started a second time, true or false",
        default: Some("true"),
    },
];

/// Command line of the daemon.
#[must_use]
pub fn command() -> Command {
    let args = SETTING_SPECS.iter().map(|spec| {
        let arg =
            Arg::new(spec.flag).long(spec.flag).env(variable_name(spec.flag)).help(spec.help).hide_env_values(true);
        match spec.default {
            Some(default) => arg.default_value(default),
            None => arg,
        }
    });
    Command::new("pimentoslipd").about("Rollout service daemon").version(env!("CARGO_PKG_VERSION")).args(args)
}

/// Environment variable for `flag`.
fn variable_name(flag: &str) -> String {
    format!("PIMENTOSLIP_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reads settings and collects all errors, so that they can be reported together. The value that a method returns must
/// not be used if the method has added an error.
struct SettingReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

impl SettingReader<'_> {
    fn add_error(&mut self, flag: &'static str, problem: impl Into<String>, remedy: impl Into<String>) {
        let variable = variable_name(flag);
        self.errors.push(SettingError { flag, variable, problem: problem.into(), remedy: remedy.into() });
    }

    fn text(&mut self, flag: &'static str) -> SharedName {
        match self.matches.get_one::<String>(flag) {
            Some(text) if !text.is_empty() => text.as_str().into(),
            _ => {
                self.add_error(flag, "missing", "set the flag or the environment variable");
                "".into()
            }
        }
    }

    fn address(&mut self, flag: &'static str) -> SocketAddr {
        let text = self.text(flag);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.add_error(
                    flag,
                    format!("{text} is not an address"),
                    "use an IP address and a port, such as 10.0.0.1:8080",
                );
            }
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    fn address_text(&mut self, flag: &'static str) -> SharedName {
        self.address(flag).to_string().into()
    }

    fn number(&mut self, flag: &'static str, min: u64) -> u64 {
        let text = self.text(flag);
        match text.parse() {
            Ok(number) if number >= min => number,
            _ => {
                self.add_error(
                    flag,
                    format!("{text} is not a number in the allowed range"),
                    format!("use an integer of at least {min}"),
                );
                min
            }
        }
    }

    fn size(&mut self, flag: &'static str) -> usize {
        usize::try_from(self.number(flag, 1)).unwrap_or(usize::MAX)
    }

    fn secret(&mut self, flag: &'static str) -> SharedName {
        let text = self.text(flag);
        if !text.is_empty() && text.len() < SECRET_CHARS_MIN {
            self.add_error(flag, "too short", format!("use at least {SECRET_CHARS_MIN} characters"));
        }
        text
    }

    fn route_policy(&mut self, flag: &'static str) -> RoutePolicy {
        let text = self.text(flag);
        RoutePolicy::from_name(&text).unwrap_or_else(|| {
            self.add_error(
                flag,
                format!("unknown policy {text}"),
                format!("use one of {}", route_policy_names().join(", ")),
            );
            RoutePolicy::default()
        })
    }

    fn admission_policy(&mut self, flag: &'static str) -> AdmissionPolicy {
        let text = self.text(flag);
        AdmissionPolicy::from_name(&text).unwrap_or_else(|| {
            let remedy = format!("use one of {}", AdmissionPolicy::names().join(", "));
            self.add_error(flag, format!("unknown policy {text}"), remedy);
            AdmissionPolicy::default()
        })
    }

    fn boolean(&mut self, flag: &'static str) -> bool {
        let text = self.text(flag);
        text.parse().unwrap_or_else(|_| {
            self.add_error(flag, format!("{text} is neither true nor false"), "use true or false");
            false
        })
    }
}

impl DaemonSettings {
    /// Reads and checks all settings. Returns every error if a setting is missing or invalid.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Vec<SettingError>> {
        let mut reader = SettingReader { matches, errors: Vec::new() };
        let settings = Self {
            name: reader.text("name"),
            failure_domain: reader.text("failure-domain"),
            site: reader.text("site"),
            listen_address: reader.address("listen"),
            control_listen_address: reader.address("control-listen"),
            kv_address: reader.address_text("kv"),
            orders_address: reader.address_text("orders"),
            usage_address: reader.address_text("usage"),
            vm_list_address: reader.address_text("vms"),
            cluster_secret: reader.secret("cluster-secret"),
            operator_key: reader.secret("operator-key"),
            route_policy: reader.route_policy("route-policy"),
            admission_policy: reader.admission_policy("admission-policy"),
            workers: reader.size("workers"),
            body_bytes_max: reader.size("body-bytes-max"),
            connections_max: reader.size("connections-max"),
            memory_mib: reader.size("memory-mib"),
            descriptors_max: reader.size("descriptors-max"),
            claim_interval_ms: reader.number("claim-interval-ms", 1),
            drain_grace_ms: reader.number("drain-grace-ms", 0),
            drain_timeout_ms: reader.number("drain-timeout-ms", 1),
            hedging: reader.boolean("hedging"),
        };
        if reader.errors.is_empty() { Ok(settings) } else { Err(reader.errors) }
    }
}
