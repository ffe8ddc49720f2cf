//! How commands reach a daemon.

use crate::admin_client::AdminClient;
use clap::{Arg, ArgAction, ArgMatches, Command};

const DEFAULT_DAEMON: &str = "127.0.0.1:8081";

/// Address and key, with chained setters.
#[derive(Clone, Debug, Default)]
pub struct Config {
    daemon: String,
    operator_key: String,
}

impl Config {
    /// Creates a configuration with nothing set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the flags that every command talking to a daemon has.
    pub fn flags(command: Command) -> Command {
        command
            .arg(
                Arg::new("daemon")
                    .long("daemon")
                    .env("PIMENTOSLIP_DAEMON")
                    .default_value(DEFAULT_DAEMON)
                    .help("Control address of a daemon, ip:port"),
            )
            .arg(
                Arg::new("operator-key")
                    .long("operator-key")
                    .env("PIMENTOSLIP_OPERATOR_KEY")
                    .default_value("")
                    .hide_env_values(true)
                    .help("Key of the operators"),
            )
            .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
    }

    /// Reads the flags.
    pub fn from_args(args: &ArgMatches) -> Self {
        Self::new().daemon(crate::util::text(args, "daemon")).operator_key(crate::util::text(args, "operator-key"))
    }

    /// Sets the daemon's control address.
    pub fn daemon(mut self, daemon: String) -> Self {
        self.daemon = daemon;
        self
    }

    /// Sets the operators' key.
    pub fn operator_key(mut self, operator_key: String) -> Self {
        self.operator_key = operator_key;
        self
    }

    /// Opens a client. Must be called on a runtime.
    pub fn open(self) -> AdminClient {
        AdminClient::new(self.daemon, self.operator_key)
    }
}
