//! A site of separate processes on ports picked by the kernel.

use super::{Answer, ChildProcess, HttpClient, Workdir, wait_for};
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{EngineFault, KvFault, PlainFault, SeenRequest};
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
pub struct SiteShape {
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
    pub base: String,
}

impl Default for SiteShape {
    fn default() -> Self {
        Self {
            daemons: vec!["a", "b", "c"],
            engines: vec!["a", "b"],
            engine_flags: Vec::new(),
            daemon_flags: Vec::new(),
            checks_fencing: false,
            base: BASE.to_owned(),
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
    pub public: String,
    /// Address for peers and operators.
    pub control: String,
}

/// All processes of a site.
pub struct Site {
    /// Folder with logs and files.
    pub workdir: Workdir,
    /// Daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Engines with their addresses.
    pub engines: Vec<(ChildProcess, String)>,
    /// Plain service.
    pub desk: String,
    /// Key-value service.
    pub kv: String,
    /// Ordering interface.
    pub orders: String,
    /// Usage interface.
    pub usage: String,
    /// VM list.
    pub vms: String,
    /// HTTP client.
    pub http: HttpClient,
    /// What was asked for.
    pub shape: SiteShape,
    _standins: Vec<ChildProcess>,
    started: usize,
}

impl Site {
    /// Starts stand-ins and daemons and puts the configuration in force.
    pub async fn start(shape: SiteShape) -> Self {
        let mut site = Self::bare(shape).await;
        for failure_domain in site.shape.daemons.clone() {
            site.start_daemon(failure_domain, &[]).await;
        }
        site.apply().await;
        site.wait_ready().await;
        site
    }

    /// Starts stand-ins only.
    pub async fn bare(shape: SiteShape) -> Self {
        let workdir = Workdir::new();
        let mut standins = Vec::new();
        let mut standin = |kind: &str, flags: &[String]| {
            let process = start_standin(&workdir, kind, standins.len(), flags);
            let address = process.word("127").to_owned();
            standins.push(process);
            format!("127{address}")
        };
        let fencing: Vec<String> = shape.checks_fencing.then(|| "--checks-fencing".to_owned()).into_iter().collect();
        let vms = standin("vms", &[]);
        let kv = standin("kv", &[]);
        let usage = standin("usage", &fencing);
        let desk = standin("plain", &[]);
        let orders = standin("orders", &[fencing, vec![format!("--vms={vms}")]].concat());
        let mut site = Self {
            workdir,
            daemons: Vec::new(),
            engines: Vec::new(),
            desk: desk.clone(),
            kv,
            orders,
            usage,
            vms,
            http: HttpClient::new(),
            shape,
            _standins: standins,
            started: 0,
        };
        for failure_domain in site.shape.engines.clone() {
            site.start_engine(failure_domain).await;
        }
        site.list_vm("desk-1", VmRole::Upstream, "a", &desk, Some("desk"), VmState::Live).await;
        site
    }

    /// Starts one more engine and lists it. Its place among the engines.
    pub async fn start_engine(&mut self, failure_domain: &str) -> usize {
        let at = self.engines.len();
        let process = start_standin(&self.workdir, "engine", 100 + at, &self.shape.engine_flags);
        let address = format!("127{}", process.word("127"));
        self.engines.push((process, address.clone()));
        self.list_vm(
            &format!("engine-{at}"),
            VmRole::Upstream,
            failure_domain,
            &address,
            Some("drafts"),
            VmState::Live,
        )
        .await;
        at
    }

    /// Starts one more daemon and lists it. Later flags override earlier ones.
    pub async fn start_daemon(&mut self, failure_domain: &'static str, extra: &[String]) -> usize {
        let name = format!("entry-{}", self.started);
        self.started += 1;
        let daemon = self.spawn_daemon(&name, failure_domain, "127.0.0.1:0", extra);
        self.list_vm(&name, VmRole::Entry, failure_domain, &daemon.control, None, VmState::Live).await;
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Starts daemon `at` again under its name, on new ports.
    pub async fn restart_daemon(&mut self, at: usize) {
        let (name, failure_domain) = (self.daemons[at].name.clone(), self.daemons[at].failure_domain);
        self.daemons[at].process.kill();
        let daemon = self.spawn_daemon(&name, failure_domain, "127.0.0.1:0", &[]);
        self.list_vm(&name, VmRole::Entry, failure_domain, &daemon.control, None, VmState::Live).await;
        self.daemons[at] = daemon;
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
            ("kv", &self.kv),
            ("orders", &self.orders),
            ("usage", &self.usage),
            ("vms", &self.vms),
        ]
        .map(|(flag, value)| (flag.to_owned(), value.to_owned()))
        .to_vec();
        for flag in self.shape.daemon_flags.iter().chain(extra) {
            let (flag, value) = flag.trim_start_matches("--").split_once('=').expect("--flag=value");
            args.retain(|(known, _)| known != flag);
            args.push((flag.to_owned(), value.to_owned()));
        }
        let args: Vec<String> = args.into_iter().map(|(flag, value)| format!("--{flag}={value}")).collect();
        let log = self.workdir.path(&format!("{name}-{}.log", self.daemons.len()));
        let process = ChildProcess::start(env!("CARGO_BIN_EXE_pimentoslipd"), &args, log);
        let (public, control) = (process.word("public="), process.word("control="));
        DaemonProcess { name: name.to_owned(), failure_domain, process, public, control }
    }

    /// Puts a VM that cannot be reclaimed on the list.
    pub async fn list_vm(
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
    pub async fn list_reclaimable(&self, name: &str, failure_domain: &str, address: &str, service: &str) {
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
        self.http.put(&format!("http://{}/v1/vms/{}", self.vms, entry.name), entry).await;
    }

    /// Takes a VM off the list.
    pub async fn unlist_vm(&self, name: &str) {
        self.http.delete(&format!("http://{}/v1/vms/{name}", self.vms)).await;
    }

    /// Applies the configuration through the command line.
    pub async fn apply(&self) -> String {
        let base = self.workdir.write("base.toml", &self.shape.base);
        let daemon = self.daemons[0].control.clone();
        let output = super::cli(&["apply", &base, "--daemon", &daemon, "--operator-key", OPERATOR_KEY]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until every daemon knows the configuration, all daemons and all upstreams.
    pub async fn wait_ready(&self) {
        wait_for("all daemons are ready", || async {
            for at in 0..self.daemons.len() {
                let status = self.status(at).await?;
                let known = status.daemons.iter().filter(|daemon| daemon.state == "alive").count();
                let upstreams = status.upstreams.iter().filter(|upstream| upstream.state == "live").count();
                let ready = status.keys_trusted && status.revision > 0;
                (ready && known == self.daemons.len() && upstreams > self.engines.len()).then_some(())?;
            }
            Some(())
        })
        .await;
    }

    /// Status of daemon `at`, if it answers.
    pub async fn status(&self, at: usize) -> Option<StatusResponse> {
        self.admin_get(at, "status").await
    }

    /// Reads from the administration API of daemon `at`.
    pub async fn admin_get<T: DeserializeOwned>(&self, at: usize, path: &str) -> Option<T> {
        let url = format!("http://{}/admin/v1/{path}", self.daemons[at].control);
        let mut answer =
            self.http.request("GET", &url).insert_header((OPERATOR_KEY_HEADER, OPERATOR_KEY)).send().await.ok()?;
        let body = answer.body().limit(16 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends to the administration API of daemon `at`.
    pub async fn admin_post<Q: Serialize>(&self, at: usize, path: &str, body: &Q) -> Answer {
        let url = format!("http://{}/admin/v1/{path}", self.daemons[at].control);
        self.http.send("POST", &url, &[(OPERATOR_KEY_HEADER, OPERATOR_KEY)], body).await
    }

    /// Creates a key through daemon `at` and waits until every daemon has it.
    pub async fn create_key(&self, at: usize, seed: u64) -> KeySecret {
        use rand::SeedableRng;
        let secret = KeySecret::generate(&mut rand_chacha::ChaCha8Rng::seed_from_u64(seed));
        let request = KeyRequest {
            change_id: format!("create-{seed}").into(),
            organisation: KEY_ORGANISATION.into(),
            key_id: secret.id.clone(),
            key_hash: Some(secret.hash()),
        };
        let answer = self.admin_post(at, "keys/create", &request).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let revision = answer.json::<ChangeResponse>().revision;
        wait_for("the key is known everywhere", || async {
            for at in 0..self.daemons.len() {
                (self.status(at).await?.revision >= revision).then_some(())?;
            }
            Some(())
        })
        .await;
        secret
    }

    /// Withdraws a key through daemon `at`.
    pub async fn withdraw_key(&self, at: usize, secret: &KeySecret) -> Answer {
        let request = KeyRequest {
            change_id: format!("withdraw-{}", secret.id).into(),
            organisation: KEY_ORGANISATION.into(),
            key_id: secret.id.clone(),
            key_hash: None,
        };
        self.admin_post(at, "keys/withdraw", &request).await
    }

    /// Sends to daemon `at` with a key.
    pub async fn call<Q: Serialize>(
        &self,
        at: usize,
        method: &str,
        path: &str,
        key: &KeySecret,
        extra: &[(&str, &str)],
        body: &Q,
    ) -> Answer {
        let url = format!("http://{}{path}", self.daemons[at].public);
        let bearer = format!("Bearer {}", key.expose());
        let headers: Vec<(&str, &str)> = extra.iter().copied().chain([("authorization", bearer.as_str())]).collect();
        self.http.send(method, &url, &headers, body).await
    }

    /// Requests that the plain service ran.
    pub async fn desk_runs(&self) -> Vec<SeenRequest> {
        self.http.get(&format!("http://{}/standin/seen", self.desk)).await.unwrap_or_default()
    }

    /// Requests that engine `at` was sent.
    pub async fn engine_seen(&self, at: usize) -> Vec<SeenRequest> {
        self.http.get(&format!("http://{}/standin/seen", self.engines[at].1)).await.unwrap_or_default()
    }

    /// Sets faults of the key-value service.
    pub async fn kv_fault(&self, fault: KvFault) {
        self.http.put(&format!("http://{}/standin/fault", self.kv), &fault).await;
    }

    /// Sets faults of the plain service.
    pub async fn desk_fault(&self, fault: PlainFault) {
        self.http.put(&format!("http://{}/standin/fault", self.desk), &fault).await;
    }

    /// Sets faults of engine `at`.
    pub async fn engine_fault(&self, at: usize, fault: EngineFault) {
        self.http.put(&format!("http://{}/standin/fault", self.engines[at].1), &fault).await;
    }

    /// Logs of all daemons.
    pub fn logs(&self) -> String {
        self.daemons.iter().map(|daemon| daemon.process.log()).collect()
    }
}

fn start_standin(workdir: &Workdir, kind: &str, at: usize, flags: &[String]) -> ChildProcess {
    let args = [vec!["standin".to_owned(), kind.to_owned()], flags.to_vec()].concat();
    let log = workdir.path(&format!("{kind}-{at}.log"));
    ChildProcess::start(env!("CARGO_BIN_EXE_pimentoslip"), &args, log)
}
