//! The site of the demo: stand-ins and daemons in this process.

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
/// Operator key of the demo's daemons.
pub const OPERATOR_KEY: &str = "demo-operator-key";

/// Running stand-ins and daemons of the demo.
pub struct DemoSite {
    /// Address of the key-value stand-in.
    pub kv: SocketAddr,
    /// Address of the stand-in that receives orders for upstreams.
    pub orders: SocketAddr,
    /// Address of the stand-in that receives usage reports.
    pub usage: SocketAddr,
    /// Address of the VM list stand-in.
    pub vms: SocketAddr,
    /// Addresses of the model engine stand-ins.
    pub engines: Vec<SocketAddr>,
    /// Address of the stand-in for the plain service `desk`.
    pub desk: SocketAddr,
    /// Running daemons, one in each failure domain.
    pub daemons: Vec<RunningDaemon>,
    /// HTTP client for the daemons and stand-ins.
    pub client: awc::Client,
}

/// Serves a stand-in on the current runtime and returns its address.
fn spawn_standin(standin: std::io::Result<RunningStandin>) -> CliResult<SocketAddr> {
    Ok(standin?.spawn().0)
}

impl DemoSite {
    /// Starts all stand-ins and daemons, and adds daemons and upstreams to the VM list.
    pub async fn start() -> CliResult<Self> {
        let vms = spawn_standin(start_vms(LOOPBACK))?;
        let settings =
            OrderSettings { checks_fencing: false, vm_list_address: Some(vms.to_string()), spares: Vec::new() };
        let mut site = Self {
            kv: spawn_standin(start_kv(LOOPBACK))?,
            orders: spawn_standin(start_orders(LOOPBACK, settings))?,
            usage: spawn_standin(start_usage(LOOPBACK, false))?,
            vms,
            engines: vec![
                spawn_standin(start_engine(LOOPBACK, EngineSettings::default(), true))?,
                spawn_standin(start_engine(LOOPBACK, EngineSettings::default(), true))?,
            ],
            desk: spawn_standin(start_plain(LOOPBACK))?,
            daemons: Vec::new(),
            client: awc::Client::builder().timeout(std::time::Duration::from_secs(20)).finish(),
        };
        for (name, failure_domain) in [("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")] {
            site.start_daemon(name, failure_domain).await?;
        }
        for (index, failure_domain) in ["a", "b"].into_iter().enumerate() {
            site.list_vm(
                &format!("engine-{index}"),
                VmRole::Upstream,
                failure_domain,
                site.engines[index],
                Some("drafts"),
            )
            .await?;
        }
        site.list_vm("desk-1", VmRole::Upstream, "a", site.desk, Some("desk")).await?;
        Ok(site)
    }

    /// Starts a daemon and adds it to the VM list.
    async fn start_daemon(&mut self, name: &str, failure_domain: &str) -> CliResult<()> {
        let endpoints = [("kv", self.kv), ("orders", self.orders), ("usage", self.usage), ("vms", self.vms)];
        let mut args = vec!["pimentoslipd".to_owned()];
        let mut add_flag = |flag: &str, value: &str| args.push(format!("--{flag}={value}"));
        add_flag("name", name);
        add_flag("failure-domain", failure_domain);
        add_flag("site", "demo");
        add_flag("listen", LOOPBACK);
        add_flag("control-listen", LOOPBACK);
        add_flag("cluster-secret", CLUSTER_SECRET);
        add_flag("operator-key", OPERATOR_KEY);
        add_flag("drain-grace-ms", "500");
        for (flag, address) in endpoints {
            add_flag(flag, &address.to_string());
        }
        let settings = DaemonSettings::from_matches(&command().get_matches_from(args)).map_err(|faults| {
            crate::CliError::Failed(format!("invalid settings of a daemon of the demo: {faults:?}"))
        })?;
        let daemon = start(settings).await?;
        self.list_vm(name, VmRole::Entry, failure_domain, daemon.control_address(), None).await?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Adds a VM to the VM list.
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
        let response = self.client.put(url).send_json(&entry).await;
        response
            .map(|_| ())
            .map_err(|error| crate::CliError::Failed(format!("cannot add VM {name} to the VM list stand-in: {error}")))
    }

    /// Client of the administration API of the daemon with index `daemon`.
    pub fn admin(&self, daemon: usize) -> AdminClient {
        AdminClient::new(self.daemons[daemon].control_address().to_string(), OPERATOR_KEY.to_owned())
    }

    /// URL of `path` at the public listener of the daemon with index `daemon`.
    pub fn url(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.daemons[daemon].public_address())
    }
}
