//! A site for tests: daemons and stand-in services as child processes, on ports that the operating system assigns.

use super::{ChildProcess, HttpAnswer, HttpClient, Workdir, wait_for};
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{EngineFault, KvFault, PlainFault, RecordedRequest};
use pimentoslip_wire::{
    OPERATOR_KEY_HEADER,
    admin::{ChangeResponse, KeyRequest, StatusResponse},
    provider::{VmEntry, VmRole, VmState},
};
use serde::{Serialize, de::DeserializeOwned};

/// Organisation that owns the API keys which tests create.
pub const KEY_ORGANISATION: &str = "velorio";
/// Operator key that every daemon of the site accepts.
pub const OPERATOR_KEY: &str = "test-operator-key";
/// Secret that the daemons present to each other.
const CLUSTER_SECRET: &str = "test-cluster-secret";
/// Default base configuration, in TOML.
const BASE_CONFIG: &str = include_str!("site-base.toml");

/// Processes of a site and their settings.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Failure domain of each daemon to start.
    pub daemons: Vec<&'static str>,
    /// Failure domain of each stand-in engine to start.
    pub engines: Vec<&'static str>,
    /// Additional command-line flags of every engine.
    pub engine_flags: Vec<String>,
    /// Additional command-line flags of every daemon, as `--flag=value`.
    pub daemon_flags: Vec<String>,
    /// Environment variables of every daemon.
    pub daemon_variables: Vec<(&'static str, String)>,
    /// Whether the stand-ins that accept VM orders and usage reports reject an outdated fencing number.
    pub checks_fencing: bool,
    /// Base configuration in TOML, applied by [`DaemonSite::start`].
    pub base_config: String,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            daemons: vec!["a", "b", "c"],
            engines: vec!["a", "b"],
            engine_flags: Vec::new(),
            daemon_flags: Vec::new(),
            daemon_variables: Vec::new(),
            checks_fencing: false,
            base_config: BASE_CONFIG.to_owned(),
        }
    }
}

/// Running daemon of a site.
pub struct DaemonProcess {
    /// Name of its VM.
    pub name: String,
    /// Failure domain of its VM.
    pub failure_domain: &'static str,
    /// Process of the daemon.
    pub process: ChildProcess,
    /// Address that callers send requests to (host:port).
    pub public_address: String,
    /// Address that peers and operators send requests to (host:port).
    pub control_address: String,
}

/// Site of daemons, with a stand-in for every service that they use.
pub struct DaemonSite {
    /// Directory with the logs of all processes and the files of the test.
    pub workdir: Workdir,
    /// Daemons, in the order of their start. Methods take a daemon as its index in this list.
    pub daemons: Vec<DaemonProcess>,
    /// Stand-in engines with their addresses (host:port). Methods take an engine as its index in this list.
    pub engines: Vec<(ChildProcess, String)>,
    /// Address of the upstream of the plain service `desk`.
    pub desk_address: String,
    /// Address of the key-value store.
    pub kv_address: String,
    /// Address of the interface that accepts orders for VMs.
    pub orders_address: String,
    /// Address of the interface that accepts usage reports.
    pub usage_address: String,
    /// Address of the service that publishes the VM list.
    pub vms_address: String,
    /// HTTP client shared by the methods of the site.
    pub http: HttpClient,
    /// Options that the site was started with. Processes that are started later use them too.
    pub options: SiteOptions,
    /// Stand-ins other than engines, kept because dropping one kills its process.
    _stand_ins: Vec<ChildProcess>,
    /// Number of daemons started so far, used for their names. Restarts do not count.
    daemons_started: usize,
}

impl DaemonSite {
    /// Starts the stand-ins and the daemons, applies the configuration and waits until the site is ready.
    pub async fn start(options: SiteOptions) -> Self {
        let mut site = Self::without_daemons(options).await;
        for failure_domain in site.options.daemons.clone() {
            site.start_daemon(failure_domain, &[]).await;
        }
        site.apply_config().await;
        site.wait_ready().await;
        site
    }

    /// Starts the stand-ins, engines included, without any daemon.
    pub async fn without_daemons(options: SiteOptions) -> Self {
        let workdir = Workdir::new();
        let mut stand_ins = Vec::new();
        let mut start_stand_in = |service: &str, flags: &[String]| {
            let process = spawn_stand_in(&workdir, service, stand_ins.len(), flags);
            // The first line of a stand-in ends with its address, 127.0.0.1 and a port.
            let address = process.word_after("127").to_owned();
            stand_ins.push(process);
            format!("127{address}")
        };
        let fencing_flags: Vec<String> =
            options.checks_fencing.then(|| "--checks-fencing".to_owned()).into_iter().collect();
        let vms_address = start_stand_in("vms", &[]);
        let kv_address = start_stand_in("kv", &[]);
        let usage_address = start_stand_in("usage", &fencing_flags);
        let desk_address = start_stand_in("plain", &[]);
        let orders_address = start_stand_in("orders", &[fencing_flags, vec![format!("--vms={vms_address}")]].concat());
        let mut site = Self {
            workdir,
            daemons: Vec::new(),
            engines: Vec::new(),
            desk_address: desk_address.clone(),
            kv_address,
            orders_address,
            usage_address,
            vms_address,
            http: HttpClient::new(),
            options,
            _stand_ins: stand_ins,
            daemons_started: 0,
        };
        for failure_domain in site.options.engines.clone() {
            site.start_engine(failure_domain).await;
        }
        site.add_vm("desk-1", VmRole::Upstream, "a", &desk_address, Some("desk"), VmState::Live).await;
        site
    }

    /// Starts one more engine, adds it to the VM list and returns its index in [`DaemonSite::engines`].
    pub async fn start_engine(&mut self, failure_domain: &str) -> usize {
        let index = self.engines.len();
        let process = spawn_stand_in(&self.workdir, "engine", 100 + index, &self.options.engine_flags);
        let address = format!("127{}", process.word_after("127"));
        self.engines.push((process, address.clone()));
        self.add_vm(
            &format!("engine-{index}"),
            VmRole::Upstream,
            failure_domain,
            &address,
            Some("drafts"),
            VmState::Live,
        )
        .await;
        index
    }

    /// Starts one more daemon, adds it to the VM list and returns its index in [`DaemonSite::daemons`]. Flags in
    /// `extra_flags` override those of the options.
    pub async fn start_daemon(&mut self, failure_domain: &'static str, extra_flags: &[String]) -> usize {
        let name = format!("entry-{}", self.daemons_started);
        self.daemons_started += 1;
        let daemon = self.spawn_daemon(&name, failure_domain, "127.0.0.1:0", extra_flags);
        self.add_vm(&name, VmRole::Entry, failure_domain, &daemon.control_address, None, VmState::Live).await;
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Kills daemon `index` and starts it again under the same name, on new ports.
    pub async fn restart_daemon(&mut self, index: usize) {
        let (name, failure_domain) = (self.daemons[index].name.clone(), self.daemons[index].failure_domain);
        self.daemons[index].process.kill();
        let daemon = self.spawn_daemon(&name, failure_domain, "127.0.0.1:0", &[]);
        self.add_vm(&name, VmRole::Entry, failure_domain, &daemon.control_address, None, VmState::Live).await;
        self.daemons[index] = daemon;
    }

    /// Starts the process of a daemon without adding it to the VM list.
    fn spawn_daemon(
        &self,
        name: &str,
        failure_domain: &'static str,
        listen: &str,
        extra_flags: &[String],
    ) -> DaemonProcess {
        let mut args: Vec<(String, String)> = [
            ("name", name),
            ("failure-domain", failure_domain),
            ("site", "test"),
            ("listen", listen),
            ("control-listen", "127.0.0.1:0"),
            ("cluster-secret", CLUSTER_SECRET),
            ("operator-key", OPERATOR_KEY),
            ("kv", &self.kv_address),
            ("orders", &self.orders_address),
            ("usage", &self.usage_address),
            ("vms", &self.vms_address),
        ]
        .map(|(flag, value)| (flag.to_owned(), value.to_owned()))
        .to_vec();
        for flag in self.options.daemon_flags.iter().chain(extra_flags) {
            let (flag, value) = flag.trim_start_matches("--").split_once('=').expect("--flag=value");
            args.retain(|(default_flag, _)| default_flag != flag);
            args.push((flag.to_owned(), value.to_owned()));
        }
        let args: Vec<String> = args.into_iter().map(|(flag, value)| format!("--{flag}={value}")).collect();
        let log_path = self.workdir.path(&format!("{name}-{}.log", self.daemons.len()));
        let variables = &self.options.daemon_variables;
        let process = ChildProcess::start_with(env!("CARGO_BIN_EXE_pimentoslipd"), &args, variables, log_path);
        let (public_address, control_address) = (process.word_after("public="), process.word_after("control="));
        DaemonProcess { name: name.to_owned(), failure_domain, process, public_address, control_address }
    }

    /// Adds a VM that cannot be reclaimed to the VM list, or replaces the entry of that name.
    pub async fn add_vm(
        &self,
        name: &str,
        role: VmRole,
        failure_domain: &str,
        address: &str,
        service: Option<&str>,
        state: VmState,
    ) {
        let entry = VmEntry {
            name: name.into(),
            role,
            failure_domain: failure_domain.into(),
            address: address.into(),
            service: service.map(Into::into),
            reclaimable: false,
            state,
        };
        self.put_vm(&entry).await;
    }

    /// Adds an upstream whose VM can be reclaimed to the VM list, or replaces the entry of that name.
    pub async fn add_reclaimable_vm(&self, name: &str, failure_domain: &str, address: &str, service: &str) {
        let entry = VmEntry {
            name: name.into(),
            role: VmRole::Upstream,
            failure_domain: failure_domain.into(),
            address: address.into(),
            service: Some(service.into()),
            reclaimable: true,
            state: VmState::Live,
        };
        self.put_vm(&entry).await;
    }

    /// Writes an entry of the VM list.
    async fn put_vm(&self, entry: &VmEntry) {
        self.http.put_json(&format!("http://{}/v1/vms/{}", self.vms_address, entry.name), entry).await;
    }

    /// Deletes a VM from the VM list.
    pub async fn remove_vm(&self, name: &str) {
        self.http.delete(&format!("http://{}/v1/vms/{name}", self.vms_address)).await;
    }

    /// Applies the base configuration of the options through daemon 0 with `pimentoslip apply`, and returns the
    /// standard output of the command.
    pub async fn apply_config(&self) -> String {
        let config_path = self.workdir.write("base.toml", &self.options.base_config);
        let control_address = self.daemons[0].control_address.clone();
        let output =
            super::run_cli(&["apply", &config_path, "--daemon", &control_address, "--operator-key", OPERATOR_KEY]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until every daemon has the configuration and reports all daemons as alive and all upstreams as live.
    pub async fn wait_ready(&self) {
        wait_for("every daemon is ready", || async {
            for daemon in 0..self.daemons.len() {
                let status = self.status(daemon).await?;
                let alive = status.daemons.iter().filter(|daemon| daemon.state == "alive").count();
                let upstreams = status.upstreams.iter().filter(|upstream| upstream.state == "live").count();
                let ready = status.keys_trusted && status.revision > 0;
                (ready && alive == self.daemons.len() && upstreams > self.engines.len()).then_some(())?;
            }
            Some(())
        })
        .await;
    }

    /// Status that daemon `daemon` reports, or `None` if it does not answer.
    pub async fn status(&self, daemon: usize) -> Option<StatusResponse> {
        self.admin_get(daemon, "status").await
    }

    /// Sends a GET request to the administration API of daemon `daemon`; `None` if it does not answer or the body does
    /// not parse.
    pub async fn admin_get<T: DeserializeOwned>(&self, daemon: usize, path: &str) -> Option<T> {
        let url = format!("http://{}/admin/v1/{path}", self.daemons[daemon].control_address);
        let mut answer =
            self.http.request("GET", &url).insert_header((OPERATOR_KEY_HEADER, OPERATOR_KEY)).send().await.ok()?;
        let body = answer.body().limit(16 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a POST request to the administration API of daemon `daemon`.
    pub async fn admin_post<Q: Serialize>(&self, daemon: usize, path: &str, body: &Q) -> HttpAnswer {
        let url = format!("http://{}/admin/v1/{path}", self.daemons[daemon].control_address);
        self.http.send("POST", &url, &[(OPERATOR_KEY_HEADER, OPERATOR_KEY)], body).await
    }

    /// Creates an API key through daemon `daemon`, generated from `seed`, and waits until every daemon has it.
    pub async fn create_key(&self, daemon: usize, seed: u64) -> KeySecret {
        use rand::SeedableRng;
        let secret = KeySecret::generate(&mut rand_chacha::ChaCha8Rng::seed_from_u64(seed));
        let request = KeyRequest {
            change_id: format!("create-{seed}").into(),
            organisation: KEY_ORGANISATION.into(),
            key_id: secret.id.clone(),
            key_hash: Some(secret.hash()),
        };
        let answer = self.admin_post(daemon, "keys/create", &request).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let revision = answer.json::<ChangeResponse>().revision;
        wait_for("every daemon has the revision with the new key", || async {
            for daemon in 0..self.daemons.len() {
                (self.status(daemon).await?.revision >= revision).then_some(())?;
            }
            Some(())
        })
        .await;
        secret
    }

    /// Withdraws an API key of [`KEY_ORGANISATION`] through daemon `daemon`.
    pub async fn withdraw_key(&self, daemon: usize, secret: &KeySecret) -> HttpAnswer {
        let request = KeyRequest {
            change_id: format!("withdraw-{}", secret.id).into(),
            organisation: KEY_ORGANISATION.into(),
            key_id: secret.id.clone(),
            key_hash: None,
        };
        self.admin_post(daemon, "keys/withdraw", &request).await
    }

    /// Sends a caller's request to daemon `daemon`, with an API key and additional headers.
    pub async fn send<Q: Serialize>(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        key: &KeySecret,
        extra_headers: &[(&str, &str)],
        body: &Q,
    ) -> HttpAnswer {
        let url = format!("http://{}{path}", self.daemons[daemon].public_address);
        let bearer = format!("Bearer {}", key.expose());
        let headers: Vec<(&str, &str)> =
            extra_headers.iter().copied().chain([("authorization", bearer.as_str())]).collect();
        self.http.send(method, &url, &headers, body).await
    }

    /// Requests that the upstream of the plain service `desk` has run, in order. Requests that it refused are not
    /// listed.
    pub async fn desk_requests(&self) -> Vec<RecordedRequest> {
        self.http.get_json(&format!("http://{}/standin/seen", self.desk_address)).await.unwrap_or_default()
    }

    /// Completion requests that engine `engine` has run, in order. It does not list requests that it refused as
    /// malformed or because it is leaving, nor one that crashed it.
    pub async fn engine_requests(&self, engine: usize) -> Vec<RecordedRequest> {
        self.http.get_json(&format!("http://{}/standin/seen", self.engines[engine].1)).await.unwrap_or_default()
    }

    /// Number of completion requests that engine `engine` has refused because it is leaving.
    pub async fn refused_count(&self, engine: usize) -> u64 {
        let url = format!("http://{}/standin/refused", self.engines[engine].1);
        self.http.get_json(&url).await.expect("the number of refused requests")
    }

    /// Sets the faults that the stand-in for the key-value store simulates from now on.
    pub async fn set_kv_fault(&self, fault: KvFault) {
        self.http.put_json(&format!("http://{}/standin/fault", self.kv_address), &fault).await;
    }

    /// Sets the faults that the upstream of the plain service `desk` simulates from now on.
    pub async fn set_desk_fault(&self, fault: PlainFault) {
        self.http.put_json(&format!("http://{}/standin/fault", self.desk_address), &fault).await;
    }

    /// Sets the faults that engine `engine` simulates from now on.
    pub async fn set_engine_fault(&self, engine: usize, fault: EngineFault) {
        self.http.put_json(&format!("http://{}/standin/fault", self.engines[engine].1), &fault).await;
    }

    /// Concatenated log texts of all daemons.
    pub fn logs(&self) -> String {
        self.daemons.iter().map(|daemon| daemon.process.log()).collect()
    }
}

/// Starts the stand-in that `pimentoslip standin` names `service`, such as `kv`; `number` makes the name of its log
/// file unique.
fn spawn_stand_in(workdir: &Workdir, service: &str, number: usize, flags: &[String]) -> ChildProcess {
    let args = [vec!["standin".to_owned(), service.to_owned()], flags.to_vec()].concat();
    let log_path = workdir.path(&format!("{service}-{number}.log"));
    ChildProcess::start(env!("CARGO_BIN_EXE_pimentoslip"), &args, log_path)
}
