//! A site in this process.

use crate::{CliResult, admin_client::AdminClient};
use pimentoslip_daemon::{DaemonSettings, RunningDaemon, command, start};
use pimentoslip_standin::{
    EngineSettings, OrderSettings, RunningStandin, start_engine, start_kv, start_orders, start_plain, start_usage,
    start_vms,
};
use pimentoslip_wire::provider::{VmEntry, VmRole, VmState};
use std::net::SocketAddr;

const LOOPBACK: &str = "127.0.0.1:0";
const CLUSTER_SECRET: &str = "demo-cluster-secret";
/// Key of the demo's operators.
pub const OPERATOR_KEY: &str = "demo-operator-key";

/// Stand-ins and daemons with their addresses.
pub struct DemoSite {
    /// Key-value service.
    pub kv: SocketAddr,
    /// Ordering interface.
    pub orders: SocketAddr,
    /// Usage interface.
    pub usage: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Engines.
    pub engines: Vec<SocketAddr>,
    /// Plain service.
    pub desk: SocketAddr,
    /// Daemons.
    pub daemons: Vec<RunningDaemon>,
    /// HTTP client.
    pub client: awc::Client,
}

fn spawn(standin: std::io::Result<RunningStandin>) -> CliResult<SocketAddr> {
    Ok(standin?.spawn().0)
}

impl DemoSite {
    /// Starts everything.
    pub async fn start() -> CliResult<Self> {
        let vms = spawn(start_vms(LOOPBACK))?;
        let settings =
            OrderSettings { checks_fencing: false, vm_list_address: Some(vms.to_string()), spares: Vec::new() };
        let mut site = Self {
            kv: spawn(start_kv(LOOPBACK))?,
            orders: spawn(start_orders(LOOPBACK, settings))?,
            usage: spawn(start_usage(LOOPBACK, false))?,
            vms,
            engines: vec![
                spawn(start_engine(LOOPBACK, EngineSettings::default(), true))?,
                spawn(start_engine(LOOPBACK, EngineSettings::default(), true))?,
            ],
            desk: spawn(start_plain(LOOPBACK))?,
            daemons: Vec::new(),
            client: awc::Client::builder().timeout(std::time::Duration::from_secs(20)).finish(),
        };
        for (name, failure_domain) in [("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")] {
            site.start_daemon(name, failure_domain).await?;
        }
        for (at, failure_domain) in ["a", "b"].into_iter().enumerate() {
            site.list_vm(&format!("engine-{at}"), VmRole::Upstream, failure_domain, site.engines[at], Some("drafts"))
                .await?;
        }
        site.list_vm("desk-1", VmRole::Upstream, "a", site.desk, Some("desk")).await?;
        Ok(site)
    }

    async fn start_daemon(&mut self, name: &str, failure_domain: &str) -> CliResult<()> {
        let endpoints = [("kv", self.kv), ("orders", self.orders), ("usage", self.usage), ("vms", self.vms)];
        let mut args = vec!["pimentoslipd".to_owned()];
        let mut add = |flag: &str, value: &str| args.push(format!("--{flag}={value}"));
        add("name", name);
        add("failure-domain", failure_domain);
        add("site", "demo");
        add("listen", LOOPBACK);
        add("control-listen", LOOPBACK);
        add("cluster-secret", CLUSTER_SECRET);
        add("operator-key", OPERATOR_KEY);
        add("drain-grace-ms", "500");
        for (flag, address) in endpoints {
            add(flag, &address.to_string());
        }
        let settings = DaemonSettings::from_matches(&command().get_matches_from(args))
            .map_err(|faults| crate::CliError::Failed(format!("{faults:?}")))?;
        let daemon = start(settings).await?;
        self.list_vm(name, VmRole::Entry, failure_domain, daemon.control(), None).await?;
        self.daemons.push(daemon);
        Ok(())
    }

    async fn list_vm(
        &self,
        name: &str,
        role: VmRole,
        failure_domain: &str,
        address: SocketAddr,
        service: Option<&str>,
    ) -> CliResult<()> {
        let entry = VmEntry {
            name: name.into(),
            role,
            failure_domain: failure_domain.into(),
            address: address.to_string().into(),
            service: service.map(Into::into),
            reclaimable: false,
            state: VmState::Live,
        };
        let url = format!("http://{}/v1/vms/{name}", self.vms);
        let sent = self.client.put(url).send_json(&entry).await;
        sent.map(|_| ()).map_err(|error| crate::CliError::Failed(format!("the VM list stand-in failed: {error}")))
    }

    /// The administration API of daemon `at`.
    pub fn admin(&self, at: usize) -> AdminClient {
        AdminClient::new(self.daemons[at].control().to_string(), OPERATOR_KEY.to_owned())
    }

    /// URL of `path` at daemon `at`'s public listener.
    pub fn url(&self, at: usize, path: &str) -> String {
        format!("http://{}{path}", self.daemons[at].public())
    }
}
