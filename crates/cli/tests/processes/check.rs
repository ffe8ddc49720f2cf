//! `pimentoslip check`

use super::support::{Workdir, run_cli};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

#[test]
fn both_deployments_are_accepted() {
    for site in ["ayacucho", "viti-levu"] {
        let output =
            run_cli(&["check", &format!("{EXAMPLES}/base.toml"), "--overlay", &format!("{EXAMPLES}/{site}.toml")]);
        assert!(output.status.success(), "{site}: {}", String::from_utf8_lossy(&output.stderr));
        assert!(String::from_utf8_lossy(&output.stdout).contains(site));
    }
}

/// Overlay text, and the file, key and remedy that must be named.
const FAULTS: &[(&str, &str, &str, &str)] = &[
    ("[site]\nstaleness_bound = -1", "overlay.toml", "site", "CONFIGURATION.md"),
    (
        "[site]\nspend_floor_cents_per_hour = 5\nspend_ceiling_cents_per_hour = 1",
        "overlay.toml",
        "site.spend_ceiling_cents_per_hour",
        "raise it",
    ),
    ("[site]\nfailure_domains = []", "overlay.toml", "site.failure_domains", "at least one"),
    ("[site]\nusage_window_seconds = 0", "overlay.toml", "site.usage_window_seconds", "1 to 86400"),
    ("[sites]\nname = 'x'", "overlay.toml", "sites", "use one of"),
    ("[services.desk]\nqueue_depth = 0", "overlay.toml", "services.desk.queue_depth", "1 or more"),
    ("[services.desk]\ncolour = 'red'", "overlay.toml", "services.desk.colour", "CONFIGURATION.md"),
    ("[services.drafts]\nopen_paths = ['/x']", "overlay.toml", "services.drafts.open_paths", "plain services"),
    ("[services.desk]\nopen_paths = ['menu']", "overlay.toml", "services.desk.open_paths", "start each path with /"),
    ("[organisations.velorio]\nweight = 0", "overlay.toml", "organisations.velorio.weight", "1 or more"),
    (
        "[organisations.velorio]\nservices = ['flowers']",
        "overlay.toml",
        "organisations.velorio.services",
        "correct the name",
    ),
    ("[organisations.'Big Name']\nservices = []", "overlay.toml", "organisations.Big Name", "a-z"),
    ("[site\n", "overlay.toml", "(file)", "valid TOML"),
];

#[test]
fn each_fault_names_file_key_and_remedy() {
    let workdir = Workdir::new();
    let base = workdir.write("base.toml", include_str!("support/site-base.toml"));
    for (text, file, key, remedy) in FAULTS {
        let overlay = workdir.write("overlay.toml", text);
        let output = run_cli(&["check", &base, "--overlay", &overlay]);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}: {message}");
        for part in [*file, &format!(": {key}: "), *remedy] {
            assert!(message.contains(part), "{text}: {message} lacks {part}");
        }
    }
}

#[test]
fn all_faults_are_listed_at_once() {
    let workdir = Workdir::new();
    let base = workdir.write("base.toml", "[services.a]\nkind = 'plain'\nqueue_depth = 0\ntimeout_ms = 0\n");
    let output = run_cli(&["check", &base]);
    assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 3);
}

#[test]
fn a_missing_file_is_a_clear_error() {
    let output = run_cli(&["check", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot read no-such-file.toml"));
}
