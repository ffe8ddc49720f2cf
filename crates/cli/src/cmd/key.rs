//! `pimentoslip key create|withdraw|list`: manages the API keys of organisations.

use super::apply::print_change;
use crate::{CliError, CliResult, admin_client::AdminClient, connection_args::ConnectionArgs, util};
use clap::{Arg, ArgMatches, Command};
use pimentoslip_kernel::KeySecret;
use pimentoslip_wire::admin::{ChangeResponse, KeyCreateResponse, KeyListResponse, KeyRequest};

/// Adds the subcommands and their arguments.
pub fn with_flags(command: Command) -> Command {
    let organisation = || Arg::new("organisation").required(true).help("Organisation");
    let create =
        Command::new("create").about("Create a key and print it; it cannot be shown again").arg(organisation());
    let withdraw = Command::new("withdraw")
        .about("Withdraw a key with immediate effect")
        .arg(organisation())
        .arg(Arg::new("key").required(true).help("Id of the key, as printed by 'key list'"));
    let list = Command::new("list").about("List keys without their secrets");
    command
        .subcommand_required(true)
        .subcommand(ConnectionArgs::with_flags(create))
        .subcommand(ConnectionArgs::with_flags(withdraw))
        .subcommand(ConnectionArgs::with_flags(list))
}

/// Runs the given subcommand.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let Some((name, args)) = args.subcommand() else {
        return Err(CliError::Failed("the subcommand is missing; use create, withdraw or list".to_owned()));
    };
    let connection = ConnectionArgs::from_args(args);
    let json = args.get_flag("json");
    util::block_on(async move {
        let client = connection.into_client();
        match name {
            "create" => create_key(&client, &util::string_arg(args, "organisation"), json).await,
            "withdraw" => {
                withdraw_key(&client, &util::string_arg(args, "organisation"), &util::string_arg(args, "key"), json)
                    .await
            }
            _ => list_keys(&client, json).await,
        }
    })
}

/// Creates a key and prints it. Only its hash is sent to the daemon.
async fn create_key(client: &AdminClient, organisation: &str, json: bool) -> CliResult<()> {
    let secret = KeySecret::generate(&mut rand::rng());
    let request = KeyRequest {
        change_id: util::new_change_id(),
        organisation: organisation.into(),
        key_id: secret.id.clone(),
        key_hash: Some(secret.hash()),
    };
    let response: ChangeResponse = client.post("keys/create", &request).await?;
    let created = KeyCreateResponse {
        organisation: organisation.into(),
        key: secret.expose().to_owned(),
        revision: response.revision,
    };
    if json {
        util::print_json(&created)?;
    } else {
        println!("{}", created.key);
        eprintln!(
            "key {} of {} is valid from revision {}; it is not shown again",
            secret.id, organisation, response.revision
        );
    }
    if response.accepted {
        return Ok(());
    }
    Err(CliError::Pending(response.unconfirmed.join(", ")))
}

async fn withdraw_key(client: &AdminClient, organisation: &str, key: &str, json: bool) -> CliResult<()> {
    let request = KeyRequest {
        change_id: util::new_change_id(),
        organisation: organisation.into(),
        key_id: key.into(),
        key_hash: None,
    };
    let response: ChangeResponse = client.post("keys/withdraw", &request).await?;
    print_change(&response, json)
}

async fn list_keys(client: &AdminClient, json: bool) -> CliResult<()> {
    let response: KeyListResponse = client.get("keys").await?;
    if json {
        return util::print_json(&response);
    }
    let rows: Vec<Vec<String>> = response
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
