//! Helpers shared by the commands: runtime, arguments, configuration files and output.

use crate::CliResult;
use clap::ArgMatches;
use pimentoslip_kernel::{ConfigFile, SharedName};
use rand::Rng;
use serde::Serialize;
use std::{fs, future::Future};

/// Runs `future` to completion on a new actix runtime.
pub fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

/// Value of a required or defaulted string argument, empty if it is absent.
pub fn string_arg(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Random id for a change of the configuration: 128 bits in hexadecimal.
pub fn new_change_id() -> SharedName {
    format!("{:032x}", rand::rng().random::<u128>()).into()
}

/// Reads and validates a base file with an optional overlay.
pub fn read_config(base: &str, overlay: Option<&str>) -> CliResult<ConfigFile> {
    let base_text = read_file(base)?;
    let overlay_text = overlay.map(read_file).transpose()?;
    let overlay = overlay.zip(overlay_text.as_deref());
    Ok(ConfigFile::parse((base, &base_text), overlay)?)
}

fn read_file(path: &str) -> CliResult<String> {
    fs::read_to_string(path).map_err(|source| crate::CliError::Io { context: format!("cannot read {path}"), source })
}

/// Prints `data` as indented JSON.
pub fn print_json<T: Serialize>(data: &T) -> CliResult<()> {
    println!("{}", serde_json::to_string_pretty(data)?);
    Ok(())
}

/// Prints rows as left-aligned columns under a row of headings.
pub fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_row = |cells: &[String]| {
        let line: Vec<String> = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        println!("{}", line.join("  ").trim_end());
    };
    print_row(&headings.iter().map(ToString::to_string).collect::<Vec<_>>());
    rows.iter().for_each(|row| print_row(row));
}
