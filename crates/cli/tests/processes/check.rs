//! Tests of the command `pimentoslip check`.

use super::support::{Workdir, run_cli};

/// Directory with the example configurations.
const EXAMPLES_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

#[test]
fn the_example_configurations_are_accepted() {
    for site in ["ayacucho", "viti-levu"] {
        let output = run_cli(&[
            "check",
            &format!("{EXAMPLES_DIR}/base.toml"),
            "--overlay",
            &format!("{EXAMPLES_DIR}/{site}.toml"),
        ]);
        assert!(output.status.success(), "{site}: {}", String::from_utf8_lossy(&output.stderr));
        assert!(String::from_utf8_lossy(&output.stdout).contains(site));
    }
}

/// Text of an invalid overlay, and the file, key and remedy that the error must name.
const INVALID_OVERLAYS: &[(&str, &str, &str, &str)] = &[
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
fn each_error_names_the_file_key_and_remedy() {
    let workdir = Workdir::new();
    let base = workdir.write("base.toml", include_str!("support/site-base.toml"));
    for (text, file, key, remedy) in INVALID_OVERLAYS {
        let overlay = workdir.write("overlay.toml", text);
        let output = run_cli(&["check", &base, "--overlay", &overlay]);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}: {message}");
        for expected in [*file, &format!(": {key}: "), *remedy] {
            assert!(message.contains(expected), "{text}: {message} lacks {expected}");
        }
    }
}

#[test]
fn all_errors_are_listed_in_one_run() {
    let workdir = Workdir::new();
    let base = workdir.write("base.toml", "[services.a]\nkind = 'plain'\nqueue_depth = 0\ntimeout_ms = 0\n");
    let output = run_cli(&["check", &base]);
    assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 3);
}

#[test]
fn a_missing_file_is_reported_with_its_name() {
    let output = run_cli(&["check", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot read no-such-file.toml"));
}
