//! `scripts/sweep-table` makes the tables of docs/CAPACITY.md from recorded load sweeps.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run_script(recorded: &Path) -> Output {
    let script = root().join("scripts/sweep-table");
    let run = Command::new("python3").arg(script).arg(recorded).output();
    run.expect("python3 runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn recorded_sweep_becomes_tables() {
    let output = run_script(&root().join("docs/sweeps/before.txt"));

    let printed = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(printed.contains("| measured | 102 | 0.991 | 0.942 | none |"));
    assert!(
        printed.contains("| proxy: connections | measured | 206 / 677 | 94 / 2133 | 64 / 6281 |")
    );
}

/// A sweep that was interrupted must be rejected, as a table of its results would look complete.
#[test]
fn truncated_sweep_is_an_error() {
    let complete = std::fs::read_to_string(root().join("docs/sweeps/before.txt"))
        .expect("the recorded sweep is readable");
    let truncated: String = complete
        .lines()
        .take(3)
        .map(|line| format!("{line}\n"))
        .collect();
    let path = std::env::temp_dir().join(format!("dp-sweep-{}.txt", std::process::id()));
    std::fs::write(&path, truncated).expect("the file is written");

    let output = run_script(&path);

    std::fs::remove_file(&path).expect("the file is removed");
    assert!(!output.status.success());
    assert!(text(&output.stdout).is_empty());
    assert!(
        text(&output.stderr).contains("cut off"),
        "{}",
        text(&output.stderr)
    );
}
