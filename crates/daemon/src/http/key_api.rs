//! Administration of API keys.

use super::{
    WorkerState,
    admin_api::{distribute_change, error_response},
};
use crate::config_writer::{ConfigWriter, WriteError};
use actix_web::{HttpResponse, web};
use pimentoslip_kernel::{ConfigRecord, KeyEntry, KeySet, RecordName, SharedName};
use pimentoslip_wire::admin::{KeyBody, KeyListResponse, KeyRequest};

/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_CHARS: usize = 64;

/// Handles `POST /keys/create`: stores a new key. The operator's tool generates the key and sends only its hash.
pub async fn create(worker: web::Data<WorkerState>, request: web::Json<KeyRequest>) -> HttpResponse {
    let Some(hash) = request.key_hash.clone().filter(|hash| hash.len() == HASH_CHARS) else {
        return error_response(&WriteError::Rejected(
            "the key hash is missing or not 64 characters long; send the SHA-256 of the key in hexadecimal".to_owned(),
        ));
    };
    let organisation_name = RecordName::Organisation(request.organisation.clone());
    match ConfigWriter::new(&worker.kv, &worker.shared).stored_record(&organisation_name).await {
        Ok(Some(record)) if *record != ConfigRecord::Removed => {}
        Ok(_) => {
            let message = format!("unknown organisation {}; apply its configuration first", request.organisation);
            return error_response(&WriteError::Rejected(message));
        }
        Err(error) => return error_response(&error),
    }
    change_keys(&worker, &request, |key_set| {
        let created = KeyEntry { hash: hash.clone(), withdrawn: false };
        match key_set.keys.get(&request.key_id) {
            // A withdrawn key must not become valid again, nor another key replace it under its id.
            Some(existing) if *existing != created => {
                Err(WriteError::Rejected(format!("the key ID {} exists already; create a new key", request.key_id)))
            }
            _ => {
                key_set.keys.insert(request.key_id.clone(), created);
                Ok(())
            }
        }
    })
    .await
}

/// Handles `POST /keys/withdraw`: marks a stored key as withdrawn, so that it is no longer accepted.
pub async fn withdraw(worker: web::Data<WorkerState>, request: web::Json<KeyRequest>) -> HttpResponse {
    change_keys(&worker, &request, |key_set| match key_set.keys.get_mut(&request.key_id) {
        Some(entry) => {
            entry.withdrawn = true;
            Ok(())
        }
        None => Err(WriteError::Rejected(format!("unknown key {}; list the keys to see their IDs", request.key_id))),
    })
    .await
}

/// Applies `edit` to the stored keys of an organisation, sends the changed keys to the peers, and returns the response.
async fn change_keys(
    worker: &WorkerState,
    request: &KeyRequest,
    edit: impl Fn(&mut KeySet) -> Result<(), WriteError>,
) -> HttpResponse {
    let name = RecordName::Keys(request.organisation.clone());
    let writer = ConfigWriter::new(&worker.kv, &worker.shared);
    let written = writer.update(&name, &request.change_id, |stored| {
        let mut key_set = match stored {
            Some(ConfigRecord::Keys(key_set)) => key_set.clone(),
            _ => KeySet::default(),
        };
        edit(&mut key_set)?;
        Ok(Some(ConfigRecord::Keys(key_set)))
    });
    match written.await {
        Ok(entry) => distribute_change(worker, entry.into_iter().collect()).await,
        Err(error) => error_response(&error),
    }
}

/// Handles `GET /keys`: the cached keys of all organisations, without hashes.
pub async fn list(worker: web::Data<WorkerState>) -> HttpResponse {
    let config = worker.shared.config();
    let mut keys = Vec::new();
    for entry in config.iter() {
        if let (RecordName::Keys(organisation), ConfigRecord::Keys(key_set)) = (&entry.name, &*entry.record) {
            keys.extend(key_set.keys.iter().map(|(key_id, entry)| key_body(organisation, key_id, entry)));
        }
    }
    HttpResponse::Ok().json(KeyListResponse { keys })
}

fn key_body(organisation: &SharedName, key_id: &SharedName, entry: &KeyEntry) -> KeyBody {
    KeyBody { organisation: organisation.clone(), key_id: key_id.clone(), withdrawn: entry.withdrawn }
}
