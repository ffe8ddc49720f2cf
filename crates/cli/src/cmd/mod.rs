//! Subcommands of `pimentoslip`: each module adds the arguments of one subcommand and runs it.

pub mod apply;
pub mod check;
pub mod demo;
pub mod diff;
pub mod drain;
pub mod key;
pub mod show;
pub mod standin;
pub mod status;
pub mod usage;

use clap::{Arg, ArgMatches, Command};

/// Adds the arguments that name a base file and its overlay.
fn with_file_args(command: Command) -> Command {
    command
        .arg(Arg::new("base").required(true).help("Base configuration file (TOML)"))
        .arg(Arg::new("overlay").long("overlay").help("File whose values override those of the base file for one site"))
}

/// Paths of the base configuration file and of its optional overlay.
#[derive(Clone, Debug)]
struct FileArgs {
    base: String,
    overlay: Option<String>,
}

impl From<&ArgMatches> for FileArgs {
    fn from(args: &ArgMatches) -> Self {
        Self { base: crate::util::string_arg(args, "base"), overlay: args.get_one("overlay").cloned() }
    }
}

impl FileArgs {
    /// Reads and validates both files.
    fn read(&self) -> crate::CliResult<pimentoslip_kernel::ConfigFile> {
        crate::util::read_config(&self.base, self.overlay.as_deref())
    }
}
