//! A site of separate processes on ports picked by the kernel.

use super::{ChildProcess, HttpAnswer, HttpClient, Workdir, wait_for};
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{EngineFault, KvFault, PlainFault, RecordedRequest};
use pimentoslip_wire::{
    OPERATOR_KEY_HEADER,
    admin::{ChangeResponse, KeyRequest, StatusResponse},
    provider::{VmEntry, VmRole, VmState},
};
use serde::{Serialize, de::DeserializeOwned};

/// Organisation that tests create keys for.
pub const KEY_ORGANISATION: &str = "velorio";
/// Key of the operators.
pub const OPERATOR_KEY: &str = "test-operator-key";
const CLUSTER_SECRET: &str = "test-cluster-secret";
const BASE: &str = include_str!("site-base.toml");

/// What to start.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Failure domain of each daemon.
    pub daemons: Vec<&'static str>,
    /// Failure domain of each engine.
    pub engines: Vec<&'static str>,
    /// Extra flags of engines.
    pub engine_flags: Vec<String>,
    /// Extra flags of daemons.
    pub daemon_flags: Vec<String>,
    /// Whether the ordering and usage interfaces check fencing numbers.
    pub checks_fencing: bool,
    /// Configuration.
    pub base_config: String,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            daemons: vec!["a", "b", "c"],
            engines: vec!["a", "b"],
            engine_flags: Vec::new(),
            daemon_flags: Vec::new(),
            checks_fencing: false,
            base_config: BASE.to_owned(),
        }
    }
}

/// One daemon.
pub struct DaemonProcess {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: &'static str,
    /// Process.
    pub process: ChildProcess,
    /// Address for callers.
    pub public_address: String,
    /// Address for peers and operators.
    pub control_address: String,
}

/// All processes of a site.
pub struct DaemonSite {
    /// Folder with logs and files.
    pub workdir: Workdir,
    /// Daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Engines with their addresses.
    pub engines: Vec<(ChildProcess, String)>,
    /// Plain service.
    pub desk_address: String,
    /// Key-value service.
    pub kv_address: String,
    /// Ordering interface.
    pub orders_address: String,
    /// Usage interface.
    pub usage_address: String,
    /// VM list.
    pub vms_address: String,
    /// HTTP client.
    pub http: HttpClient,
    /// What was asked for.
    pub options: SiteOptions,
    _stand_ins: Vec<ChildProcess>,
    daemons_started: usize,
}

impl DaemonSite {
    /// Starts stand-ins and daemons and puts the configuration in force.
    pub async fn start(options: SiteOptions) -> Self {
        let mut site = Self::without_daemons(options).await;
        for failure_domain in site.options.daemons.clone() {
            site.start_daemon(failure_domain, &[]).await;
        }
        site.apply_config().await;
        site.wait_ready().await;
        site
    }

    /// Starts stand-ins only.
    pub async fn without_daemons(options: SiteOptions) -> Self {
        let workdir = Workdir::new();
        let mut stand_ins = Vec::new();
        let mut start_stand_in = |kind: &str, flags: &[String]| {
            let process = spawn_stand_in(&workdir, kind, stand_ins.len(), flags);
            let address = process.word_after("127").to_owned();
            stand_ins.push(process);
            format!("127{address}")
        };
        let fencing: Vec<String> = options.checks_fencing.then(|| "--checks-fencing".to_owned()).into_iter().collect();
        let vms_address = start_stand_in("vms", &[]);
        let kv_address = start_stand_in("kv", &[]);
        let usage_address = start_stand_in("usage", &fencing);
        let desk_address = start_stand_in("plain", &[]);
        let orders_address = start_stand_in("orders", &[fencing, vec![format!("--vms={vms_address}")]].concat());
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

    /// Starts one more engine and lists it. Its place among the engines.
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

    /// Starts one more daemon and lists it. Later flags override earlier ones.
    pub async fn start_daemon(&mut self, failure_domain: &'static str, extra: &[String]) -> usize {
        let name = format!("entry-{}", self.daemons_started);
        self.daemons_started += 1;
        let daemon = self.spawn_daemon(&name, failure_domain, "127.0.0.1:0", extra);
        self.add_vm(&name, VmRole::Entry, failure_domain, &daemon.control_address, None, VmState::Live).await;
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Starts daemon `index` again under its name, on new ports.
    pub async fn restart_daemon(&mut self, index: usize) {
        let (name, failure_domain) = (self.daemons[index].name.clone(), self.daemons[index].failure_domain);
        self.daemons[index].process.kill();
        let daemon = self.spawn_daemon(&name, failure_domain, "127.0.0.1:0", &[]);
        self.add_vm(&name, VmRole::Entry, failure_domain, &daemon.control_address, None, VmState::Live).await;
        self.daemons[index] = daemon;
    }

    fn spawn_daemon(&self, name: &str, failure_domain: &'static str, listen: &str, extra: &[String]) -> DaemonProcess {
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
        for flag in self.options.daemon_flags.iter().chain(extra) {
            let (flag, value) = flag.trim_start_matches("--").split_once('=').expect("--flag=value");
            args.retain(|(default_flag, _)| default_flag != flag);
            args.push((flag.to_owned(), value.to_owned()));
        }
        let args: Vec<String> = args.into_iter().map(|(flag, value)| format!("--{flag}={value}")).collect();
        let log = self.workdir.path(&format!("{name}-{}.log", self.daemons.len()));
        let process = ChildProcess::start(env!("CARGO_BIN_EXE_pimentoslipd"), &args, log);
        let (public_address, control_address) = (process.word_after("public="), process.word_after("control="));
        DaemonProcess { name: name.to_owned(), failure_domain, process, public_address, control_address }
    }

    /// Puts a VM that cannot be reclaimed on the list.
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

    /// Puts an upstream that can be reclaimed on the list.
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

    async fn put_vm(&self, entry: &VmEntry) {
        self.http.put_json(&format!("http://{}/v1/vms/{}", self.vms_address, entry.name), entry).await;
    }

    /// Takes a VM off the list.
    pub async fn remove_vm(&self, name: &str) {
        self.http.delete(&format!("http://{}/v1/vms/{name}", self.vms_address)).await;
    }

    /// Applies the configuration through the command line.
    pub async fn apply_config(&self) -> String {
        let base_config = self.workdir.write("base.toml", &self.options.base_config);
        let daemon = self.daemons[0].control_address.clone();
        let output = super::run_cli(&["apply", &base_config, "--daemon", &daemon, "--operator-key", OPERATOR_KEY]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until every daemon knows the configuration, all daemons and all upstreams.
    pub async fn wait_ready(&self) {
        wait_for("all daemons are ready", || async {
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

    /// Status of daemon `daemon`, if it answers.
    pub async fn status(&self, daemon: usize) -> Option<StatusResponse> {
        self.admin_get(daemon, "status").await
    }

    /// Reads from the administration API of daemon `daemon`.
    pub async fn admin_get<T: DeserializeOwned>(&self, daemon: usize, path: &str) -> Option<T> {
        let url = format!("http://{}/admin/v1/{path}", self.daemons[daemon].control_address);
        let mut answer =
            self.http.request("GET", &url).insert_header((OPERATOR_KEY_HEADER, OPERATOR_KEY)).send().await.ok()?;
        let body = answer.body().limit(16 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends to the administration API of daemon `daemon`.
    pub async fn admin_post<Q: Serialize>(&self, daemon: usize, path: &str, body: &Q) -> HttpAnswer {
        let url = format!("http://{}/admin/v1/{path}", self.daemons[daemon].control_address);
        self.http.send("POST", &url, &[(OPERATOR_KEY_HEADER, OPERATOR_KEY)], body).await
    }

    /// Creates a key through daemon `daemon` and waits until every daemon has it.
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
        wait_for("the key is known everywhere", || async {
            for daemon in 0..self.daemons.len() {
                (self.status(daemon).await?.revision >= revision).then_some(())?;
            }
            Some(())
        })
        .await;
        secret
    }

    /// Withdraws a key through daemon `daemon`.
    pub async fn withdraw_key(&self, daemon: usize, secret: &KeySecret) -> HttpAnswer {
        let request = KeyRequest {
            change_id: format!("withdraw-{}", secret.id).into(),
            organisation: KEY_ORGANISATION.into(),
            key_id: secret.id.clone(),
            key_hash: None,
        };
        self.admin_post(daemon, "keys/withdraw", &request).await
    }

    /// Sends to daemon `daemon` with a key.
    pub async fn send<Q: Serialize>(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        key: &KeySecret,
        extra: &[(&str, &str)],
        body: &Q,
    ) -> HttpAnswer {
        let url = format!("http://{}{path}", self.daemons[daemon].public_address);
        let bearer = format!("Bearer {}", key.expose());
        let headers: Vec<(&str, &str)> = extra.iter().copied().chain([("authorization", bearer.as_str())]).collect();
        self.http.send(method, &url, &headers, body).await
    }

    /// Requests that the plain service ran.
    pub async fn desk_requests(&self) -> Vec<RecordedRequest> {
        self.http.get_json(&format!("http://{}/standin/seen", self.desk_address)).await.unwrap_or_default()
    }

    /// Requests that engine `engine` was sent.
    pub async fn engine_requests(&self, engine: usize) -> Vec<RecordedRequest> {
        self.http.get_json(&format!("http://{}/standin/seen", self.engines[engine].1)).await.unwrap_or_default()
    }

    /// Sets faults of the key-value service.
    pub async fn set_kv_fault(&self, fault: KvFault) {
        self.http.put_json(&format!("http://{}/standin/fault", self.kv_address), &fault).await;
    }

    /// Sets faults of the plain service.
    pub async fn set_desk_fault(&self, fault: PlainFault) {
        self.http.put_json(&format!("http://{}/standin/fault", self.desk_address), &fault).await;
    }

    /// Sets faults of engine `engine`.
    pub async fn set_engine_fault(&self, engine: usize, fault: EngineFault) {
        self.http.put_json(&format!("http://{}/standin/fault", self.engines[engine].1), &fault).await;
    }

    /// Logs of all daemons.
    pub fn logs(&self) -> String {
        self.daemons.iter().map(|daemon| daemon.process.log()).collect()
    }
}

fn spawn_stand_in(workdir: &Workdir, kind: &str, number: usize, flags: &[String]) -> ChildProcess {
    let args = [vec!["standin".to_owned(), kind.to_owned()], flags.to_vec()].concat();
    let log = workdir.path(&format!("{kind}-{number}.log"));
    ChildProcess::start(env!("CARGO_BIN_EXE_pimentoslip"), &args, log)
}
