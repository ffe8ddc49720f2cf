//! `pimentoslip key create|withdraw|list`

use super::apply::report_change;
use crate::{CliError, CliResult, admin_client::AdminClient, config::Config, util};
use clap::{Arg, ArgMatches, Command};
use pimentoslip_kernel::KeySecret;
use pimentoslip_wire::admin::{ChangeResponse, KeyCreateResponse, KeyListResponse, KeyRequest};

/// Adds the flags.
pub fn usage(command: Command) -> Command {
    let organisation = || Arg::new("organisation").required(true).help("Organisation");
    let create = Command::new("create").about("Create a key and print it once").arg(organisation());
    let withdraw = Command::new("withdraw")
        .about("Withdraw a key at once")
        .arg(organisation())
        .arg(Arg::new("key").required(true).help("Id of the key"));
    let list = Command::new("list").about("List keys without their secrets");
    command
        .subcommand_required(true)
        .subcommand(Config::flags(create))
        .subcommand(Config::flags(withdraw))
        .subcommand(Config::flags(list))
}

/// Runs one of the three.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let Some((name, args)) = args.subcommand() else {
        return Err(CliError::Failed("name one of create, withdraw and list".to_owned()));
    };
    let config = Config::from_args(args);
    let json = args.get_flag("json");
    util::block_on(async move {
        let client = config.open();
        match name {
            "create" => create(&client, &util::text(args, "organisation"), json).await,
            "withdraw" => withdraw(&client, &util::text(args, "organisation"), &util::text(args, "key"), json).await,
            _ => list(&client, json).await,
        }
    })
}

async fn create(client: &AdminClient, organisation: &str, json: bool) -> CliResult<()> {
    let secret = KeySecret::generate(&mut rand::rng());
    let request = KeyRequest {
        change_id: util::change_id(),
        organisation: organisation.into(),
        key_id: secret.id.clone(),
        key_hash: Some(secret.hash()),
    };
    let answer: ChangeResponse = client.post("keys/create", &request).await?;
    let created = KeyCreateResponse {
        organisation: organisation.into(),
        key: secret.expose().to_owned(),
        revision: answer.revision,
    };
    if json {
        util::print_json(&created)?;
    } else {
        println!("{}", created.key);
        eprintln!(
            "key {} of {} holds from revision {}; it is not shown again",
            secret.id, organisation, answer.revision
        );
    }
    if answer.accepted {
        return Ok(());
    }
    Err(CliError::Pending(answer.unconfirmed.join(", ")))
}

async fn withdraw(client: &AdminClient, organisation: &str, key: &str, json: bool) -> CliResult<()> {
    let request = KeyRequest {
        change_id: util::change_id(),
        organisation: organisation.into(),
        key_id: key.into(),
        key_hash: None,
    };
    let answer: ChangeResponse = client.post("keys/withdraw", &request).await?;
    report_change(&answer, json)
}

async fn list(client: &AdminClient, json: bool) -> CliResult<()> {
    let answer: KeyListResponse = client.get("keys").await?;
    if json {
        return util::print_json(&answer);
    }
    let rows: Vec<Vec<String>> = answer
        .keys
        .iter()
        .map(|key| {
            let state = if key.withdrawn { "withdrawn" } else { "holds" };
            vec![key.organisation.to_string(), key.key_id.to_string(), state.to_owned()]
        })
        .collect();
    util::print_table(&["organisation", "key", "state"], &rows);
    Ok(())
}
