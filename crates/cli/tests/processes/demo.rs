//! Test of the command `pimentoslip demo`.

use super::support::run_cli;

#[test]
fn the_demo_passes_all_its_checks() {
    let output = run_cli(&["demo"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains(" 0 failed."), "{text}");
}
