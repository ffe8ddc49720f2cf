//! Tests of the restart of background tasks.

use pimentoslip_edge::supervise;
use std::{cell::Cell, rc::Rc};

/// Guards against a daemon that keeps running without one of its tasks after an unexpected error.
#[actix_rt::test]
async fn a_task_that_panics_is_started_again_until_it_ends_by_itself() {
    let starts = Rc::new(Cell::new(0));
    supervise("test", || {
        let starts = starts.clone();
        async move {
            starts.set(starts.get() + 1);
            assert!(starts.get() >= 3, "an unexpected error");
        }
    })
    .await;
    assert_eq!(starts.get(), 3);
}
