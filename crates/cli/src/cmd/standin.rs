//! `pimentoslip standin kv|engine|plain|orders|usage|vms`

use crate::{CliError, CliResult, util};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use pimentoslip_standin::{
    EngineSettings, OrderSettings, RunningStandin, start_engine, start_kv, start_orders, start_plain, start_usage,
    start_vms,
};

const KINDS: [&str; 6] = ["kv", "engine", "plain", "orders", "usage", "vms"];

/// Adds the flags.
pub fn with_flags(command: Command) -> Command {
    let settings = EngineSettings::default();
    let number = |name: &'static str, default: String, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    command
        .arg(Arg::new("kind").required(true).value_parser(KINDS).help("What to stand in for"))
        .arg(Arg::new("listen").long("listen").default_value("127.0.0.1:0").help("Address, ip:port; port 0 picks one"))
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Refuse old fencing numbers"),
        )
        .arg(Arg::new("vms").long("vms").help("VM list that started upstreams are added to (orders)"))
        .arg(number("slots", settings.slots.to_string(), "Answers at a time (engine)"))
        .arg(number("token-us", settings.token_us.to_string(), "Microseconds of one token (engine)"))
        .arg(number("chunk-tokens", settings.chunk_tokens.to_string(), "Tokens in each chunk (engine)"))
        .arg(number(
            "shortest",
            settings.min_answer_tokens.to_string(),
            "Length of the shortest answers in tokens (engine)",
        ))
        .arg(number("version", settings.initial_version.to_string(), "Weight version at the start (engine)"))
}

struct Args {
    kind: String,
    listen: String,
    checks_fencing: bool,
    vms: Option<String>,
    settings: EngineSettings,
}

impl From<&ArgMatches> for Args {
    fn from(args: &ArgMatches) -> Self {
        let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
        let settings = EngineSettings {
            slots: usize::try_from(number("slots")).unwrap_or(usize::MAX),
            token_us: number("token-us"),
            chunk_tokens: u32::try_from(number("chunk-tokens")).unwrap_or(u32::MAX).max(1),
            min_answer_tokens: u32::try_from(number("shortest")).unwrap_or(u32::MAX),
            initial_version: number("version"),
            ..EngineSettings::default()
        };
        Self {
            kind: util::text(args, "kind"),
            listen: util::text(args, "listen"),
            checks_fencing: args.get_flag("checks-fencing"),
            vms: args.get_one("vms").cloned(),
            settings,
        }
    }
}

impl Args {
    fn start(&self) -> CliResult<RunningStandin> {
        let started = match self.kind.as_str() {
            "kv" => start_kv(&self.listen),
            "engine" => start_engine(&self.listen, self.settings, self.checks_fencing),
            "plain" => start_plain(&self.listen),
            "orders" => {
                let settings = OrderSettings {
                    checks_fencing: self.checks_fencing,
                    vm_list_address: self.vms.clone(),
                    spares: Vec::new(),
                };
                start_orders(&self.listen, settings)
            }
            "usage" => start_usage(&self.listen, self.checks_fencing),
            _ => start_vms(&self.listen),
        };
        started.map_err(|source| CliError::Io { context: format!("cannot listen on {}", self.listen), source })
    }
}

/// Serves until it is killed. The first line printed names the bound address.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = Args::from(args);
    util::block_on(async move {
        let standin = args.start()?;
        println!("listening {}", standin.address);
        Ok(standin.server.await?)
    })
}
