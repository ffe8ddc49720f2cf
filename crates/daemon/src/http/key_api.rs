//! Tenant keys.

use super::{
    WorkerState,
    admin_api::{accept, failed},
};
use crate::config_writer::{ConfigWriter, WriteError};
use actix_web::{HttpResponse, web};
use pimentoslip_kernel::{ConfigRecord, KeyEntry, KeySet, RecordName, SharedName};
use pimentoslip_wire::admin::{KeyBody, KeyListResponse, KeyRequest};

const HASH_CHARS: usize = 64;

/// Handles `POST /keys/create`. The operator's tool draws the key and sends only its hash.
pub async fn create(worker: web::Data<WorkerState>, request: web::Json<KeyRequest>) -> HttpResponse {
    let Some(hash) = request.key_hash.clone().filter(|hash| hash.len() == HASH_CHARS) else {
        return failed(&WriteError::Rejected(
            "the hash is missing or malformed; send the SHA-256 of the key".to_owned(),
        ));
    };
    let organisation = RecordName::Organisation(request.organisation.clone());
    match ConfigWriter::new(&worker.kv, &worker.shared).stored(&organisation).await {
        Ok(Some(record)) if *record != ConfigRecord::Removed => {}
        Ok(_) => {
            let problem = format!("unknown organisation {}; apply its configuration first", request.organisation);
            return failed(&WriteError::Rejected(problem));
        }
        Err(error) => return failed(&error),
    }
    change(&worker, &request, |keys| {
        keys.keys.insert(request.key_id.clone(), KeyEntry { hash: hash.clone(), withdrawn: false });
        Ok(())
    })
    .await
}

/// Handles `POST /keys/withdraw`.
pub async fn withdraw(worker: web::Data<WorkerState>, request: web::Json<KeyRequest>) -> HttpResponse {
    change(&worker, &request, |keys| match keys.keys.get_mut(&request.key_id) {
        Some(entry) => {
            entry.withdrawn = true;
            Ok(())
        }
        None => Err(WriteError::Rejected(format!("unknown key {}; list the keys for their ids", request.key_id))),
    })
    .await
}

async fn change(
    worker: &WorkerState,
    request: &KeyRequest,
    edit: impl Fn(&mut KeySet) -> Result<(), WriteError>,
) -> HttpResponse {
    let name = RecordName::Keys(request.organisation.clone());
    let writer = ConfigWriter::new(&worker.kv, &worker.shared);
    let written = writer.update(&name, &request.change_id, |stored| {
        let mut keys = match stored {
            Some(ConfigRecord::Keys(keys)) => keys.clone(),
            _ => KeySet::default(),
        };
        edit(&mut keys)?;
        Ok(Some(ConfigRecord::Keys(keys)))
    });
    match written.await {
        Ok(entry) => accept(worker, entry.into_iter().collect()).await,
        Err(error) => failed(&error),
    }
}

/// Handles `GET /keys`.
pub async fn list(worker: web::Data<WorkerState>) -> HttpResponse {
    let config = worker.shared.config();
    let mut keys = Vec::new();
    for entry in config.iter() {
        if let (RecordName::Keys(organisation), ConfigRecord::Keys(set)) = (&entry.name, &*entry.record) {
            keys.extend(set.keys.iter().map(|(key, entry)| body(organisation, key, entry)));
        }
    }
    HttpResponse::Ok().json(KeyListResponse { keys })
}

fn body(organisation: &SharedName, key: &SharedName, entry: &KeyEntry) -> KeyBody {
    KeyBody { organisation: organisation.clone(), key_id: key.clone(), withdrawn: entry.withdrawn }
}
