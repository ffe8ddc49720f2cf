//! Small helpers of the commands.

use crate::CliResult;
use clap::ArgMatches;
use pimentoslip_kernel::{ConfigFile, SharedName};
use rand::Rng;
use serde::Serialize;
use std::{fs, future::Future};

/// Runs `future` on a runtime of its own.
pub fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

/// A value of a text flag that always has one.
pub fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

/// A fresh id for a change.
pub fn change_id() -> SharedName {
    format!("{:032x}", rand::rng().random::<u128>()).into()
}

/// Reads and checks a base file with an optional overlay.
pub fn read_config(base: &str, overlay: Option<&str>) -> CliResult<ConfigFile> {
    let base_text = read(base)?;
    let overlay_text = overlay.map(read).transpose()?;
    let overlay = overlay.zip(overlay_text.as_deref());
    Ok(ConfigFile::parse((base, &base_text), overlay)?)
}

fn read(path: &str) -> CliResult<String> {
    fs::read_to_string(path).map_err(|source| crate::CliError::Io { context: format!("cannot read {path}"), source })
}

/// Prints data as JSON.
pub fn print_json<T: Serialize>(data: &T) -> CliResult<()> {
    println!("{}", serde_json::to_string_pretty(data)?);
    Ok(())
}

/// Prints rows in aligned columns under a heading.
pub fn print_table(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let print = |cells: &[String]| {
        let line: Vec<String> = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        println!("{}", line.join("  ").trim_end());
    };
    print(&heading.iter().map(ToString::to_string).collect::<Vec<_>>());
    rows.iter().for_each(|row| print(row));
}
