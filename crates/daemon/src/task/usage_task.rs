//! Seals and reports usage windows, if this daemon holds the site's reporting duty.

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

const DUTY: &str = "usage";
const TOTALS_TIMEOUT_MS: u64 = 1_000;
/// Time after a window's end in which its last counters may still be gathered.
const GRACE_MS: u64 = 2_000;
const RETENTION_MS: u64 = 30 * 24 * 3_600 * 1_000;
const MS_PER_SECOND: u64 = 1_000;

/// A sealed window as stored. The report's bytes are fixed with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedWindow {
    window: UsageWindow,
    report: String,
}

/// Gathers counters, seals windows, and sends them until the provider has confirmed.
pub struct UsageTask {
    shared: Arc<SharedState>,
    kv: EtcdClient,
    peers: PeerClient,
    provider: ProviderClient,
    lease: Option<DutyLease<EtcdClient>>,
    totals: BTreeMap<SharedName, Vec<UsageLine>>,
    /// Last window known to be sealed and reported under the present fencing number.
    reported: Option<(u64, u64)>,
}

fn window_prefix(site: &str) -> String {
    format!("pimentoslip/{site}/usage/window/")
}

fn window_key(site: &str, index: u64) -> String {
    format!("{}{index:012}", window_prefix(site))
}

fn sent_key(site: &str, index: u64) -> String {
    format!("pimentoslip/{site}/usage/sent/{index:012}")
}

/// Reports of all sealed windows, oldest first.
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
    pub fn new(shared: Arc<SharedState>, kv: EtcdClient, peers: PeerClient, provider: ProviderClient) -> Self {
        Self { shared, kv, peers, provider, lease: None, totals: BTreeMap::new(), reported: None }
    }

    /// Takes in the latest counters of every daemon that answers.
    async fn gather(&mut self) {
        let own = self.shared.usage_totals().into_iter().map(TotalsLine::from).map(UsageLine::from).collect();
        self.totals.insert(self.shared.process(), own);
        let controls: Vec<SharedName> =
            self.shared.members().possibly_running_entries().map(|member| member.control.clone()).collect();
        let calls = controls
            .iter()
            .map(|control| self.peers.call::<_, TotalsResponse>(control, "/peer/totals", &(), TOTALS_TIMEOUT_MS));
        for answer in join_all(calls).await.into_iter().flatten() {
            let lines = answer.lines.into_iter().map(UsageLine::from).collect();
            self.totals.insert(answer.incarnation, lines);
        }
    }

    async fn round(
        &mut self,
        site: &SharedName,
        window_seconds: u64,
        fencing: u64,
        deadline: TimePoint,
        holder_key: &str,
    ) -> Result<()> {
        let window_ms = window_seconds * MS_PER_SECOND;
        let unix_ms = self.shared.clock.unix_ms();
        let newest_closed = (unix_ms.saturating_sub(GRACE_MS) / window_ms).saturating_sub(1);
        if self.reported == Some((fencing, newest_closed)) {
            return Ok(());
        }
        let stored = self.kv.range(&window_prefix(&self.shared.settings.site), 0).await?;
        let mut windows: Vec<SealedWindow> =
            stored.kvs.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect();
        let last = windows.last().map(|sealed| sealed.window.clone()).unwrap_or_default();
        if last.index < newest_closed {
            windows.push(self.seal(site, newest_closed, &last, fencing, holder_key).await?);
        }
        self.send_unsent(site, &windows, fencing, deadline, holder_key).await?;
        self.reported = Some((fencing, newest_closed));
        Ok(())
    }

    /// Fixes a window's figures by one write that only the duty's holder can make, and only once.
    async fn seal(
        &self,
        site: &SharedName,
        index: u64,
        last: &UsageWindow,
        fencing: u64,
        holder_key: &str,
    ) -> Result<SealedWindow> {
        let window = UsageWindow::seal(index, last, &self.totals);
        let report =
            serde_json::to_string(&UsageReport::from_window(site, &window)).map_err(|error| malformed(&error))?;
        let sealed = SealedWindow { window, report };
        let value = serde_json::to_vec(&sealed).map_err(|error| malformed(&error))?;
        let key = window_key(&self.shared.settings.site, index);
        let lease = self.kv.grant_lease(RETENTION_MS).await?;
        let txn = TxnRequest::default().expect(holder_key, fencing).expect(&key, 0).put(&key, value, lease);
        // When the answer is lost, the next round reads what was sealed.
        if !self.kv.commit(&txn).await?.succeeded {
            return Err(PlatformError::LeaseNotFound);
        }
        LogLine::new("usage_sealed").field("window", index).field("lines", sealed.window.lines.len()).info();
        Ok(sealed)
    }

    async fn send_unsent(
        &self,
        site: &SharedName,
        windows: &[SealedWindow],
        fencing: u64,
        deadline: TimePoint,
        holder_key: &str,
    ) -> Result<()> {
        let prefix = format!("pimentoslip/{}/usage/sent/", self.shared.settings.site);
        let sent = self.kv.range(&prefix, 0).await?;
        for sealed in windows {
            let index = sealed.window.index;
            let key = sent_key(&self.shared.settings.site, index);
            if sent.kvs.iter().any(|entry| entry.key == key.as_bytes()) {
                continue;
            }
            self.shared.metrics.reports.inc();
            self.provider.report_usage(site, index, fencing, sealed.report.clone().into(), deadline).await?;
            LogLine::new("usage_reported").field("window", index).info();
            let lease = self.kv.grant_lease(RETENTION_MS).await?;
            let txn = TxnRequest::default().expect(holder_key, fencing).put(&key, Vec::new(), lease);
            self.kv.commit(&txn).await?;
        }
        Ok(())
    }
}

impl PeriodicTask for UsageTask {
    const PERIOD_MS: u64 = 1_000;

    async fn run(&mut self) {
        let Some(site) = self.shared.config().site().cloned() else { return };
        let rank =
            self.shared.members().duty_rank(DUTY, &site.failure_domains.first().cloned().unwrap_or_else(|| "".into()));
        let (kv, shared) = (self.kv.clone(), self.shared.clone());
        let lease =
            self.lease.get_or_insert_with(|| DutyLease::new(kv, shared, DUTY.into(), site.usage_checks_fencing));
        let Some((fencing, deadline)) = lease.tick(rank).await else { return };
        let holder_key = lease.holder_key();
        self.gather().await;
        if let Err(error) = self.round(&site.name, site.usage_window_seconds, fencing, deadline, &holder_key).await {
            LogLine::new("usage_failed").field("error", error).warn();
        }
    }

    async fn stop(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.step_down().await;
        }
    }
}

fn malformed(error: &serde_json::Error) -> PlatformError {
    PlatformError::Malformed { endpoint: "this daemon".to_owned(), problem: error.to_string() }
}
