//! The proxy copes with limits that the operating system sets on its process.

mod fixture;

use std::time::Duration;

use fixture::{Layout, Site};

/// Guards against a proxy that uses a whole core while it has no file descriptor left to accept a
/// caller.
#[tokio::test]
async fn proxy_without_file_descriptors_does_not_spin() {
    let site = Site::build(&Layout::new("no-fd", &["dc-1"])).await;
    let proxy = &site.proxies[0];
    let pid = proxy.process.pid().to_string();
    let open = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the process runs");
    let limit = format!("--nofile={}", open.count() + 2);
    let limited = std::process::Command::new("prlimit")
        .args(["--pid", &pid, &limit])
        .status();
    assert!(limited.expect("prlimit runs").success());

    let callers: Vec<_> = (0..8)
        .map(|_| std::net::TcpStream::connect(&proxy.listen).expect("the kernel accepts"))
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = cpu_ticks(&pid);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let used = cpu_ticks(&pid) - before;

    drop(callers);
    assert!(used < 50, "{used} ticks of 10 ms in a second");
}

/// The processor time that a process has used, in clock ticks of 10 ms.
fn cpu_ticks(pid: &str) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    // The name of the process, in parentheses, may contain blanks.
    let (_, fields) = stat.rsplit_once(')').expect("a process name");
    let field = |index: usize| -> u64 {
        let value = fields.split_whitespace().nth(index);
        value.and_then(|text| text.parse().ok()).expect("a number")
    };
    let (user, system) = (field(11), field(12));
    user + system
}
