//! Stand-ins and checks of the review cases that are scripts.

mod caller;
mod handover;
mod paged_store;
mod quarantine;
mod readers;
mod sampler;
mod site;
mod split;

#[actix_rt::main]
async fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match case.as_str() {
        "handover" => handover::run(is_disrupted).await,
        "readers" => readers::run(is_disrupted).await,
        "split" => split::run(is_disrupted).await,
        "quarantine" => quarantine::run(is_disrupted).await,
        _ => {
            eprintln!("unknown case {case:?}");
            2
        }
    };
    std::process::exit(code);
}
