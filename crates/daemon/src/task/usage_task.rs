//! Seals usage windows and reports them to the provider, while this daemon holds the site's reporting duty.

use super::{PeriodicTask, duty_lease::DutyLease};
use crate::{peer_client::PeerClient, shared_state::SharedState};
use futures_util::future::join_all;
use pimentoslip_client::{EtcdClient, KeyValueClient, PlatformError, ProviderClient, Result};
use pimentoslip_kernel::{SharedName, TimePoint, UsageLine, UsageWindow};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    kv::TxnRequest,
    peer::{TotalsLine, TotalsResponse},
    provider::UsageReport,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Name of the reporting duty.
const USAGE_DUTY: &str = "usage";
/// Timeout of a request for a peer's usage counters.
const TOTALS_TIMEOUT_MS: u64 = 1_000;
/// Time after the end of a window in which its last counters may still be collected.
const COLLECTION_GRACE_MS: u64 = 2_000;
/// Time for which sealed windows and the marks of sent reports stay stored: 30 days.
const WINDOW_RETENTION_MS: u64 = 30 * 24 * 3_600 * 1_000;
const MS_PER_SECOND: u64 = 1_000;

/// Sealed window as stored, with the exact text of its report, so that every repeat of the report is equal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedWindow {
    window: UsageWindow,
    report: String,
}

/// Collects usage counters, seals windows, and sends their reports until the provider confirms them.
pub struct UsageTask {
    shared: Arc<SharedState>,
    kv: EtcdClient,
    peer_client: PeerClient,
    provider: ProviderClient,
    /// Lease of the reporting duty; `None` until the site's configuration is received.
    lease: Option<DutyLease<EtcdClient>>,
    /// Latest cumulative counters by daemon incarnation.
    totals: BTreeMap<SharedName, Vec<UsageLine>>,
    /// Fencing number and newest closed window of the last run in which every report was confirmed.
    last_reported: Option<(u64, u64)>,
}

fn window_prefix(site: &str) -> String {
    format!("pimentoslip/{site}/usage/window/")
}

/// Key of a sealed window.
fn window_key(site: &str, index: u64) -> String {
    format!("{}{index:012}", window_prefix(site))
}

/// Key of the mark that a window's report was confirmed by the provider.
fn sent_key(site: &str, index: u64) -> String {
    format!("pimentoslip/{site}/usage/sent/{index:012}")
}

/// Reports of all sealed windows that are still stored, oldest first. Malformed ones are left out.
pub async fn sealed_reports<K: KeyValueClient>(kv: &K, site: &str) -> Result<Vec<UsageReport>> {
    let stored = kv.range(&window_prefix(site), 0).await?;
    let reports = stored.kvs.iter().filter_map(|entry| {
        let sealed: SealedWindow = serde_json::from_slice(&entry.value).ok()?;
        serde_json::from_str(&sealed.report).ok()
    });
    Ok(reports.collect())
}

impl UsageTask {
    /// Creates the task.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, kv: EtcdClient, peer_client: PeerClient, provider: ProviderClient) -> Self {
        Self { shared, kv, peer_client, provider, lease: None, totals: BTreeMap::new(), last_reported: None }
    }

    /// Updates the counters of this daemon and of every daemon that answers.
    async fn collect_totals(&mut self) {
        let own_lines = self.shared.usage_totals().into_iter().map(TotalsLine::from).map(UsageLine::from).collect();
        self.totals.insert(self.shared.process_name(), own_lines);
        let control_addresses: Vec<SharedName> =
            self.shared.members().possibly_running_entries().map(|member| member.control_address.clone()).collect();
        let calls = control_addresses.iter().map(|control_address| {
            self.peer_client.call::<_, TotalsResponse>(control_address, "/peer/totals", &(), TOTALS_TIMEOUT_MS)
        });
        for response in join_all(calls).await.into_iter().flatten() {
            let lines = response.lines.into_iter().map(UsageLine::from).collect();
            self.totals.insert(response.incarnation, lines);
        }
    }

    /// Seals the newest closed window, unless that is done, and sends the reports that are not marked as sent.
    async fn report_closed_windows(
        &mut self,
        site: &SharedName,
        window_seconds: u64,
        fencing_number: u64,
        deadline: TimePoint,
        holder_key: &str,
    ) -> Result<()> {
        let window_ms = window_seconds * MS_PER_SECOND;
        let unix_ms = self.shared.clock.unix_ms();
        let newest_closed = (unix_ms.saturating_sub(COLLECTION_GRACE_MS) / window_ms).saturating_sub(1);
        if self.last_reported == Some((fencing_number, newest_closed)) {
            return Ok(());
        }
        let stored = self.kv.range(&window_prefix(&self.shared.settings.site), 0).await?;
        let mut windows: Vec<SealedWindow> =
            stored.kvs.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect();
        let previous = windows.last().map(|sealed| sealed.window.clone()).unwrap_or_default();
        if previous.index < newest_closed {
            windows.push(self.seal_window(site, newest_closed, &previous, fencing_number, holder_key).await?);
        }
        self.send_pending_reports(site, &windows, fencing_number, deadline, holder_key).await?;
        self.last_reported = Some((fencing_number, newest_closed));
        Ok(())
    }

    /// Computes and stores a window. The write succeeds only for the duty's holder and only once per window.
    async fn seal_window(
        &self,
        site: &SharedName,
        index: u64,
        previous: &UsageWindow,
        fencing_number: u64,
        holder_key: &str,
    ) -> Result<SealedWindow> {
        let window = UsageWindow::seal(index, previous, &self.totals);
        let report =
            serde_json::to_string(&UsageReport::from_window(site, &window)).map_err(|error| encoding_error(&error))?;
        let sealed = SealedWindow { window, report };
        let value = serde_json::to_vec(&sealed).map_err(|error| encoding_error(&error))?;
        let key = window_key(&self.shared.settings.site, index);
        let lease = self.kv.grant_lease(WINDOW_RETENTION_MS).await?;
        let txn = TxnRequest::default().expect(holder_key, fencing_number).expect(&key, 0).put(&key, value, lease);
        // If the answer is lost, the next run reads the sealed window from the store.
        if !self.kv.commit(&txn).await?.succeeded {
            return Err(PlatformError::LeaseNotFound);
        }
        LogLine::new("usage_sealed").field("window", index).field("lines", sealed.window.lines.len()).info();
        Ok(sealed)
    }

    /// Sends the reports that are not marked as sent, and marks them.
    async fn send_pending_reports(
        &self,
        site: &SharedName,
        windows: &[SealedWindow],
        fencing_number: u64,
        deadline: TimePoint,
        holder_key: &str,
    ) -> Result<()> {
        let prefix = format!("pimentoslip/{}/usage/sent/", self.shared.settings.site);
        let sent_marks = self.kv.range(&prefix, 0).await?;
        for sealed in windows {
            let index = sealed.window.index;
            let key = sent_key(&self.shared.settings.site, index);
            if sent_marks.kvs.iter().any(|entry| entry.key == key.as_bytes()) {
                continue;
            }
            self.shared.metrics.usage_reports.inc();
            self.provider.report_usage(site, index, fencing_number, sealed.report.clone().into(), deadline).await?;
            LogLine::new("usage_reported").field("window", index).info();
            let lease = self.kv.grant_lease(WINDOW_RETENTION_MS).await?;
            let txn = TxnRequest::default().expect(holder_key, fencing_number).put(&key, Vec::new(), lease);
            self.kv.commit(&txn).await?;
        }
        Ok(())
    }
}

impl PeriodicTask for UsageTask {
    const PAUSE_MS: u64 = 1_000;

    async fn run(&mut self) {
        let Some(site) = self.shared.config().site().cloned() else { return };
        let rank = self
            .shared
            .members()
            .duty_rank(USAGE_DUTY, &site.failure_domains.first().cloned().unwrap_or_else(|| "".into()));
        let (kv, shared) = (self.kv.clone(), self.shared.clone());
        let lease =
            self.lease.get_or_insert_with(|| DutyLease::new(kv, shared, USAGE_DUTY.into(), site.usage_checks_fencing));
        let Some((fencing_number, deadline)) = lease.tick(rank).await else { return };
        let holder_key = lease.holder_key();
        self.collect_totals().await;
        if let Err(error) = self
            .report_closed_windows(&site.name, site.usage_window_seconds, fencing_number, deadline, &holder_key)
            .await
        {
            LogLine::new("usage_failed").field("error", error).warn();
        }
    }

    async fn stop(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.step_down().await;
        }
    }
}

fn encoding_error(error: &serde_json::Error) -> PlatformError {
    PlatformError::Malformed { endpoint: "this daemon".to_owned(), problem: error.to_string() }
}
