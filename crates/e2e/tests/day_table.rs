//! `scripts/day-table` makes the tables of docs/CAPACITY.md from reports of single days.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run_script(report: &Path) -> Output {
    let script = root().join("scripts/day-table");
    let run = Command::new("python3").arg(script).arg(report).output();
    run.expect("python3 runs")
}

fn recorded() -> PathBuf {
    root().join("docs/fleet/quiet-1-before.json")
}

#[test]
fn recorded_day_becomes_a_table() {
    let output = run_script(&recorded());

    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{printed}");
    assert!(printed.contains("| served | 0.075 |"), "{printed}");
    assert!(printed.contains("| rules broken | CONFIG 4 |"), "{printed}");
    assert!(printed.contains("| proxy: memory MB | 5.43 / 73.75 |"));
    assert!(printed.contains("| config acked, ms | 5397 / 6363 |"));
}

/// A report that was cut off must be rejected, as a table of its figures would look complete.
#[test]
fn truncated_report_is_an_error() {
    let complete = std::fs::read_to_string(recorded()).expect("the report is readable");
    let path = std::env::temp_dir().join(format!("dp-day-{}.json", std::process::id()));
    std::fs::write(&path, &complete[..complete.len() / 2]).expect("the file is written");

    let output = run_script(&path);

    std::fs::remove_file(&path).expect("the file is removed");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && output.stdout.is_empty());
    assert!(errors.contains("cut off"), "{errors}");
}
