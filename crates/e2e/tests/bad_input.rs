//! Invalid input from callers and operators is rejected with a clear error and does not affect
//! others.

mod fixture;

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    time::Duration,
};

use fixture::{connect, scalar, Site};

const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller that sends garbage is disconnected. The proxy continues to serve others.
#[tokio::test]
async fn garbage_bytes_do_not_stop_the_proxy() {
    let site = Site::start("garbage", 1, 20).await;
    let mut socket = TcpStream::connect(&site.proxies[0].listen).unwrap();

    let _ = socket.write_all(b"\x00\x00\x00\x08garbage!garbage!garbage!");
    let disconnected = is_closed_within(&mut socket, DISCONNECT_TIMEOUT);
    let client = connect(&site.proxies[0], "member", "").await;

    assert!(disconnected, "still connected after {DISCONNECT_TIMEOUT:?}");
    assert_eq!(scalar(&client, "SELECT 1").await.as_deref(), Some("1"));
}

/// Whether the proxy closes a caller's connection within `timeout`.
fn is_closed_within(socket: &mut TcpStream, timeout: Duration) -> bool {
    socket
        .set_read_timeout(Some(timeout))
        .expect("a timeout above zero");
    let mut answer = Vec::new();
    match socket.read_to_end(&mut answer) {
        Ok(_) => true,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// A user that is not in the bundle is refused at start-up with SQLSTATE 28000.
#[tokio::test]
async fn unknown_caller_is_refused() {
    let site = Site::start("unknown", 1, 20).await;
    let (host, port) = site.proxies[0].listen.rsplit_once(':').unwrap();
    let mut config = tokio_postgres::Config::new();
    config
        .host(host)
        .port(port.parse().unwrap())
        .user("stranger")
        .dbname("ledger");

    let error = config
        .connect(tokio_postgres::NoTls)
        .await
        .err()
        .expect("the connection is refused");

    let code = error.as_db_error().map(|db| db.code().code().to_owned());
    assert_eq!(code.as_deref(), Some("28000"), "{error}");
}

/// A misspelt key in the settings file stops the proxy with a message that names the key.
#[test]
fn misspelt_setting_is_named() {
    let dir = std::env::temp_dir().join(format!("dandelionpitch-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("bad.toml");
    std::fs::write(
        &path,
        "id = \"p\"\ndc = \"d\"\nlisten = \"127.0.0.1:0\"\n\
        operator_listen = \"127.0.0.1:0\"\nkv = \"http://127.0.0.1:1\"\nlistne = 1\n",
    )
    .unwrap();

    let output = std::process::Command::new(fixture::bin("dandelionpitch"))
        .args(["--config", path.to_str().unwrap()])
        .output()
        .unwrap();

    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("listne"), "{text}");
}

/// `dpctl validate` rejects a malformed bundle with a message that names the field.
#[test]
fn malformed_bundle_is_refused() {
    let dir = std::env::temp_dir().join(format!("dandelionpitch-bundle-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("bad.toml");
    std::fs::write(
        &path,
        "version = 3\n[[caller]]\nuser = \"x\"\ngroup = \"missing\"\n",
    )
    .unwrap();

    let (ok, text) = fixture::dpctl(&["validate", path.to_str().unwrap()]);

    assert!(!ok);
    assert!(text.contains("no group \"missing\""), "{text}");
}

/// Writes a configuration of the line protocol with these accounts and validates it.
fn validate_configuration(name: &str, accounts: &str) -> (bool, String) {
    let file = format!("dandelionpitch-{name}-{}.conf", std::process::id());
    let path = std::env::temp_dir().join(file);
    let route = r#"{"name":"r","host":"h","kind":"primary","timeout_ms":800,"target_latency_ms":150,
        "service":"s"}"#;
    let service = r#"{"name":"s","max_conns":33}"#;
    let text = format!(
        r#"{{"version":7,"routes":[{route}],"services":[{service}],"tenants":[{accounts}]}}"#
    );
    std::fs::write(&path, text).unwrap();
    let outcome = fixture::dpctl(&["validate", path.to_str().unwrap()]);
    let _ = std::fs::remove_file(&path);
    outcome
}

/// `dpctl validate` takes the configuration that the proxies take, and lists all its faults by place.
/// Guards against a key on an operator's terminal.
#[test]
fn faulty_configuration_is_refused_without_its_keys() {
    let accounts = r#"{"name":"a","api_keys":["secret-1"],"rate_per_s":5},
        {"name":"b","api_keys":["secret-2","secret-1"],"rate_per_s":0}"#;

    let (ok, text) = validate_configuration("faulty", accounts);

    assert!(!ok);
    let shared = r#"account 2 ("b"): key 2 is also held by account "a""#;
    let rate = r#"account 2 ("b"): the rate must be above zero, not 0"#;
    assert!(text.contains(shared) && text.contains(rate), "{text}");
    assert!(!text.contains("secret"), "{text}");
}

#[test]
fn sound_configuration_is_summarized() {
    let accounts = r#"{"name":"a","api_keys":["secret-1"],"rate_per_s":5}"#;

    let (ok, text) = validate_configuration("sound", accounts);

    assert!(ok, "{text}");
    let summary = "configuration version 7 is valid: 1 routes, 1 groups, 1 accounts";
    assert_eq!(text.trim(), summary);
}

/// All servers of the group die while a statement runs. The caller gets SQLSTATE 08007, "outcome
/// unknown", at once instead of waiting, as the statement may have been executed.
#[tokio::test]
async fn backend_lost_mid_query_returns_outcome_unknown() {
    let mut site = Site::start("gone", 1, 20).await;
    let client = connect(&site.proxies[0], "member", "").await;
    let running = tokio::spawn(async move {
        let started = std::time::Instant::now();
        let outcome = client
            .simple_query("SELECT dandelionpitch_sleep(30000)")
            .await;
        (outcome, started.elapsed())
    });
    tokio::time::sleep(Duration::from_millis(200)).await;

    site.group.kill();
    let (outcome, took) = running.await.unwrap();

    let error = outcome.expect_err("an error, not rows");
    let code = error.as_db_error().map(|db| db.code().code().to_owned());
    assert_eq!(code.as_deref(), Some("08007"), "{error}");
    assert!(took < Duration::from_secs(5), "answered after {took:?}");
}
