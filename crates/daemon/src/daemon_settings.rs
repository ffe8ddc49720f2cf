//! Settings of one daemon, from flags and environment variables.

use clap::{Arg, ArgMatches, Command};
use pimentoslip_kernel::{AdmissionPolicy, RoutePolicy, SharedName, route_policy_names};
use std::net::SocketAddr;

const SECRET_CHARS_MIN: usize = 16;

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("--{flag} ({variable}): {problem}; {remedy}")]
pub struct SettingError {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: String,
    /// What is wrong.
    pub problem: String,
    /// How to mend it.
    pub remedy: String,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the daemon, the same as its VM's on the platform's list.
    pub name: SharedName,
    /// Failure domain of its VM.
    pub failure_domain: SharedName,
    /// Site, which prefixes everything in the key-value service.
    pub site: SharedName,
    /// Where callers connect.
    pub listen_address: SocketAddr,
    /// Where peers, operators and probes connect.
    pub control_listen_address: SocketAddr,
    /// Key-value service.
    pub kv_address: SharedName,
    /// Ordering interface.
    pub orders_address: SharedName,
    /// Usage interface.
    pub usage_address: SharedName,
    /// VM list.
    pub vm_list_address: SharedName,
    /// Secret shared by all daemons of the site.
    pub cluster_secret: SharedName,
    /// Key of the operators.
    pub operator_key: SharedName,
    /// How upstreams are chosen.
    pub route_policy: RoutePolicy,
    /// In which order waiting requests are admitted.
    pub admission_policy: AdmissionPolicy,
    /// Threads that serve callers.
    pub workers: usize,
    /// Largest request body in bytes.
    pub body_bytes_max: usize,
    /// Most connections of callers.
    pub connections_max: usize,
    /// Least time between two group commits of claims, in milliseconds.
    pub claim_interval_ms: u64,
    /// Time for the balancer to notice that the daemon leaves, in milliseconds.
    pub drain_grace_ms: u64,
    /// Longest wait for requests to end, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Whether stragglers are hedged.
    pub hedging: bool,
}

struct SettingSpec {
    flag: &'static str,
    help: &'static str,
    default: Option<&'static str>,
}

const SPECS: &[SettingSpec] = &[
    SettingSpec { flag: "name", help: "Name of this daemon, as on the VM list", default: None },
    SettingSpec { flag: "failure-domain", help: "Failure domain of this VM", default: None },
    SettingSpec { flag: "site", help: "Name of the site", default: None },
    SettingSpec { flag: "listen", help: "Address for callers, ip:port", default: Some("127.0.0.1:8080") },
    SettingSpec {
        flag: "control-listen",
        help: "Address for peers and operators, ip:port",
        default: Some("127.0.0.1:8081"),
    },
    SettingSpec { flag: "kv", help: "Key-value service, ip:port", default: None },
    SettingSpec { flag: "orders", help: "Ordering interface, ip:port", default: None },
    SettingSpec { flag: "usage", help: "Usage interface, ip:port", default: None },
    SettingSpec { flag: "vms", help: "VM list, ip:port", default: None },
    SettingSpec { flag: "cluster-secret", help: "Secret shared by all daemons of the site", default: None },
    SettingSpec { flag: "operator-key", help: "Key of the operators", default: None },
    SettingSpec { flag: "route-policy", help: "How upstreams are chosen", default: Some("prefix-two-choices") },
    SettingSpec { flag: "admission-policy", help: "Order of waiting requests", default: Some("fair") },
    SettingSpec { flag: "workers", help: "Threads that serve callers", default: Some("1") },
    SettingSpec { flag: "body-bytes-max", help: "Largest request body in bytes", default: Some("4194304") },
    SettingSpec { flag: "connections-max", help: "Most connections of callers", default: Some("4096") },
    SettingSpec { flag: "claim-interval-ms", help: "Least time between group commits of claims", default: Some("20") },
    SettingSpec {
        flag: "drain-grace-ms",
        help: "Time for the balancer to notice a planned stop",
        default: Some("2000"),
    },
    SettingSpec { flag: "drain-timeout-ms", help: "Longest wait for requests to end", default: Some("600000") },
    SettingSpec { flag: "hedging", help: "Whether straggling samples are hedged", default: Some("true") },
];

/// The daemon's command line.
#[must_use]
pub fn command() -> Command {
    let args = SPECS.iter().map(|spec| {
        let arg = Arg::new(spec.flag).long(spec.flag).env(variable(spec.flag)).help(spec.help).hide_env_values(true);
        match spec.default {
            Some(default) => arg.default_value(default),
            None => arg,
        }
    });
    Command::new("pimentoslipd").about("Rollout service daemon").version(env!("CARGO_PKG_VERSION")).args(args)
}

fn variable(flag: &str) -> String {
    format!("PIMENTOSLIP_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reads settings and gathers every fault.
struct SettingReader<'a> {
    matches: &'a ArgMatches,
    faults: Vec<SettingError>,
}

impl SettingReader<'_> {
    fn fault(&mut self, flag: &'static str, problem: impl Into<String>, remedy: impl Into<String>) {
        let variable = variable(flag);
        self.faults.push(SettingError { flag, variable, problem: problem.into(), remedy: remedy.into() });
    }

    fn text(&mut self, flag: &'static str) -> SharedName {
        match self.matches.get_one::<String>(flag) {
            Some(text) if !text.is_empty() => text.as_str().into(),
            _ => {
                self.fault(flag, "missing", "set the flag or the variable");
                "".into()
            }
        }
    }

    fn address(&mut self, flag: &'static str) -> SocketAddr {
        let text = self.text(flag);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.fault(
                    flag,
                    format!("{text} is no address"),
                    "write an IP number and a port, such as 10.0.0.1:8080",
                );
            }
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    fn endpoint(&mut self, flag: &'static str) -> SharedName {
        self.address(flag).to_string().into()
    }

    fn number(&mut self, flag: &'static str, least: u64) -> u64 {
        let text = self.text(flag);
        match text.parse() {
            Ok(number) if number >= least => number,
            _ => {
                self.fault(
                    flag,
                    format!("{text} is no usable number"),
                    format!("use a whole number of at least {least}"),
                );
                least
            }
        }
    }

    fn size(&mut self, flag: &'static str) -> usize {
        usize::try_from(self.number(flag, 1)).unwrap_or(usize::MAX)
    }

    fn secret(&mut self, flag: &'static str) -> SharedName {
        let text = self.text(flag);
        if !text.is_empty() && text.len() < SECRET_CHARS_MIN {
            self.fault(flag, "too short", format!("use at least {SECRET_CHARS_MIN} characters"));
        }
        text
    }

    fn policy(&mut self, flag: &'static str) -> RoutePolicy {
        let text = self.text(flag);
        RoutePolicy::from_name(&text).unwrap_or_else(|| {
            self.fault(
                flag,
                format!("unknown policy {text}"),
                format!("use one of {}", route_policy_names().join(", ")),
            );
            RoutePolicy::default()
        })
    }

    fn admission(&mut self, flag: &'static str) -> AdmissionPolicy {
        let text = self.text(flag);
        AdmissionPolicy::from_name(&text).unwrap_or_else(|| {
            let remedy = format!("use one of {}", AdmissionPolicy::names().join(", "));
            self.fault(flag, format!("unknown policy {text}"), remedy);
            AdmissionPolicy::default()
        })
    }

    fn switch(&mut self, flag: &'static str) -> bool {
        let text = self.text(flag);
        text.parse().unwrap_or_else(|_| {
            self.fault(flag, format!("{text} is neither true nor false"), "use true or false");
            false
        })
    }
}

impl DaemonSettings {
    /// Reads and checks all settings; on failure every fault is listed.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Vec<SettingError>> {
        let mut reader = SettingReader { matches, faults: Vec::new() };
        let settings = Self {
            name: reader.text("name"),
            failure_domain: reader.text("failure-domain"),
            site: reader.text("site"),
            listen_address: reader.address("listen"),
            control_listen_address: reader.address("control-listen"),
            kv_address: reader.endpoint("kv"),
            orders_address: reader.endpoint("orders"),
            usage_address: reader.endpoint("usage"),
            vm_list_address: reader.endpoint("vms"),
            cluster_secret: reader.secret("cluster-secret"),
            operator_key: reader.secret("operator-key"),
            route_policy: reader.policy("route-policy"),
            admission_policy: reader.admission("admission-policy"),
            workers: reader.size("workers"),
            body_bytes_max: reader.size("body-bytes-max"),
            connections_max: reader.size("connections-max"),
            claim_interval_ms: reader.number("claim-interval-ms", 1),
            drain_grace_ms: reader.number("drain-grace-ms", 0),
            drain_timeout_ms: reader.number("drain-timeout-ms", 1),
            hedging: reader.switch("hedging"),
        };
        if reader.faults.is_empty() { Ok(settings) } else { Err(reader.faults) }
    }
}
