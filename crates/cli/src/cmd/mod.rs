//! One file a subcommand.

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

/// Adds the flags that name a base file and its overlay.
fn file_flags(command: Command) -> Command {
    command
        .arg(Arg::new("base").required(true).help("Base file"))
        .arg(Arg::new("overlay").long("overlay").help("Overlay of the site"))
}

/// The base file and its overlay.
#[derive(Clone, Debug)]
struct FileArgs {
    base: String,
    overlay: Option<String>,
}

impl From<&ArgMatches> for FileArgs {
    fn from(args: &ArgMatches) -> Self {
        Self { base: crate::util::text(args, "base"), overlay: args.get_one("overlay").cloned() }
    }
}

impl FileArgs {
    fn read(&self) -> crate::CliResult<pimentoslip_kernel::ConfigFile> {
        crate::util::read_config(&self.base, self.overlay.as_deref())
    }
}
