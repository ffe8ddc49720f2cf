//! The limits of the platform's store, in front of the project's stand-in, which has none: pages of a range, the size of a
//! value and the number of entries of a commit.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

const BODY_BYTES_MAX: usize = 64 << 20;
const PAGE_ITEMS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1 << 20;
const VALUE_BYTES_MAX: usize = 1 << 20;
const COMMIT_ENTRIES_MAX: usize = 32;
/// Longer than the longest watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(35);

/// Starts the front of the store at `store`. Returns its address.
pub fn start(store: SocketAddr) -> SocketAddr {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::PayloadConfig::new(BODY_BYTES_MAX))
            .app_data(web::Data::new(store))
            .default_service(web::to(pass_on))
    });
    let server = server.workers(2).disable_signals().bind("127.0.0.1:0").expect("a free port");
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Decoded length of base64 text.
fn value_bytes(item: &Value) -> usize {
    item["value"].as_str().map_or(0, |text| text.len() / 4 * 3)
}

fn is_allowed(commit: &Value) -> bool {
    let rows = |name: &str| commit[name].as_array().map_or(&[][..], Vec::as_slice);
    let count = rows("expected").len() + rows("puts").len() + rows("remove").len();
    count <= COMMIT_ENTRIES_MAX && rows("puts").iter().all(|row| value_bytes(row) <= VALUE_BYTES_MAX)
}

/// The first page of `range`.
fn first_page(mut range: Value) -> Value {
    let items = range["items"].as_array().cloned().unwrap_or_default();
    let mut bytes = 0;
    let fitting = items.iter().take(PAGE_ITEMS_MAX).take_while(|item| {
        let is_first = bytes == 0;
        bytes += value_bytes(item);
        is_first || bytes <= PAGE_BYTES_MAX
    });
    let count = fitting.count();
    range["morePages"] = json!(count < items.len());
    range["items"] = json!(items[..count]);
    range
}

async fn pass_on(store: web::Data<SocketAddr>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let target = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    if target.starts_with("/pimentoslip/kv-txn") {
        let commit: Value = serde_json::from_slice(&body).unwrap_or_default();
        if !is_allowed(&commit) {
            return HttpResponse::BadRequest().finish();
        }
    }
    let call = awc::Client::default()
        .request(request.method().clone(), format!("http://{}{target}", store.get_ref()))
        .timeout(CALL_TIMEOUT)
        .insert_header(("content-type", "application/json"));
    let Ok(mut answer) = call.send_body(body).await else { return HttpResponse::BadGateway().finish() };
    let status = answer.status();
    let Ok(body) = answer.body().limit(BODY_BYTES_MAX).await else { return HttpResponse::BadGateway().finish() };
    if target.starts_with("/pimentoslip/kv-range") && status.is_success() {
        let range = serde_json::from_slice(&body).unwrap_or_default();
        return HttpResponse::Ok().json(first_page(range));
    }
    HttpResponse::build(status).content_type("application/json").body(body)
}
