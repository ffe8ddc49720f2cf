//! `pimentoslip standin kv|engine|plain|orders|usage|vms`: serves a stand-in for tests and the demo.

use crate::{CliError, CliResult, util};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use pimentoslip_standin::{
    EngineSettings, OrderSettings, RunningStandin, start_engine, start_kv, start_orders, start_plain, start_usage,
    start_vms,
};

/// Accepted values of the `kind` argument.
const STANDIN_KINDS: [&str; 6] = ["kv", "engine", "plain", "orders", "usage", "vms"];

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    let defaults = EngineSettings::default();
    let number = |name: &'static str, default: String, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    command
        .arg(Arg::new("kind").required(true).value_parser(STANDIN_KINDS).help("Service to simulate"))
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0")
                .help("Listen address, ip:port; port 0 picks a free port"),
        )
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Reject requests with outdated fencing numbers"),
        )
        .arg(
            Arg::new("vms")
                .long("vms")
                .help("Address of the VM list stand-in to which started upstreams are added (orders)"),
        )
        .arg(number("slots", defaults.slots.to_string(), "Number of requests generated concurrently (engine)"))
        .arg(number("token-us", defaults.token_us.to_string(), "Time to generate one token, in microseconds (engine)"))
        .arg(number("chunk-tokens", defaults.chunk_tokens.to_string(), "Tokens in each streamed chunk (engine)"))
        .arg(number("shortest", defaults.min_answer_tokens.to_string(), "Minimum answer length in tokens (engine)"))
        .arg(number("version", defaults.initial_version.to_string(), "Initial weight version (engine)"))
}

/// Parsed arguments of the command.
struct Args {
    kind: String,
    listen: String,
    /// Whether requests with outdated fencing numbers are rejected.
    checks_fencing: bool,
    /// Address of the VM list stand-in to which the `orders` stand-in adds started upstreams; `None` adds them nowhere.
    vm_list_address: Option<String>,
    /// Settings of the `engine` stand-in; the other kinds ignore them.
    engine_settings: EngineSettings,
}

impl From<&ArgMatches> for Args {
    fn from(args: &ArgMatches) -> Self {
        let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
        let engine_settings = EngineSettings {
            slots: usize::try_from(number("slots")).unwrap_or(usize::MAX),
            token_us: number("token-us"),
            chunk_tokens: u32::try_from(number("chunk-tokens")).unwrap_or(u32::MAX).max(1),
            min_answer_tokens: u32::try_from(number("shortest")).unwrap_or(u32::MAX),
            initial_version: number("version"),
            ..EngineSettings::default()
        };
        Self {
            kind: util::string_arg(args, "kind"),
            listen: util::string_arg(args, "listen"),
            checks_fencing: args.get_flag("checks-fencing"),
            vm_list_address: args.get_one("vms").cloned(),
            engine_settings,
        }
    }
}

impl Args {
    /// Starts the stand-in of the given kind.
    fn start(&self) -> CliResult<RunningStandin> {
        let standin = match self.kind.as_str() {
            "kv" => start_kv(&self.listen),
            "engine" => start_engine(&self.listen, self.engine_settings, self.checks_fencing),
            "plain" => start_plain(&self.listen),
            "orders" => {
                let settings = OrderSettings {
                    checks_fencing: self.checks_fencing,
                    vm_list_address: self.vm_list_address.clone(),
                    spares: Vec::new(),
                };
                start_orders(&self.listen, settings)
            }
            "usage" => start_usage(&self.listen, self.checks_fencing),
            _ => start_vms(&self.listen),
        };
        standin.map_err(|source| CliError::Io { context: format!("cannot listen on {}", self.listen), source })
    }
}

/// Serves until the process is killed. The first line of the output names the bound address.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = Args::from(args);
    util::block_on(async move {
        let standin = args.start()?;
        println!("listening {}", standin.address);
        Ok(standin.server.await?)
    })
}
