//! Command line flags for the connection to a daemon.

use crate::admin_client::AdminClient;
use clap::{Arg, ArgAction, ArgMatches, Command};

const DEFAULT_DAEMON_ADDRESS: &str = "127.0.0.1:8081";

/// Control address of a daemon and operator key to authenticate with.
#[derive(Clone, Debug, Default)]
pub struct ConnectionArgs {
    daemon: String,
    operator_key: String,
}

impl ConnectionArgs {
    /// Creates connection arguments with an empty address and an empty key.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the flags of every command that calls a daemon: its address, the operator key and the output format.
    pub fn with_flags(command: Command) -> Command {
        command
            .arg(
                Arg::new("daemon")
                    .long("daemon")
                    .env("PIMENTOSLIP_DAEMON")
                    .default_value(DEFAULT_DAEMON_ADDRESS)
                    .help("Control address of the daemon to call, ip:port"),
            )
            .arg(
                Arg::new("operator-key")
                    .long("operator-key")
                    .env("PIMENTOSLIP_OPERATOR_KEY")
                    .default_value("")
                    .hide_env_values(true)
                    .help("Key that authenticates operators"),
            )
            .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the result as JSON"))
    }

    /// Reads the flags from parsed arguments.
    pub fn from_args(args: &ArgMatches) -> Self {
        Self::new()
            .daemon(crate::util::string_arg(args, "daemon"))
            .operator_key(crate::util::string_arg(args, "operator-key"))
    }

    /// Sets the control address of the daemon.
    pub fn daemon(mut self, daemon: String) -> Self {
        self.daemon = daemon;
        self
    }

    /// Sets the operator key.
    pub fn operator_key(mut self, operator_key: String) -> Self {
        self.operator_key = operator_key;
        self
    }

    /// Creates a client for the daemon. Must be called within an actix runtime.
    pub fn into_client(self) -> AdminClient {
        AdminClient::new(self.daemon, self.operator_key)
    }
}
