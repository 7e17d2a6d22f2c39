//! The daemon's settings, and the operators' pages that document settings and metrics.

use std::process::Command;

use cherrystandd::Settings;

const VALID: &str = "node = \"n\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:1\"\n\
    operators = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n[platform]\naddress = \"127.0.0.1:4\"\n";

fn site(more: &str) -> String {
    format!("{VALID}[site]\ngrace_ms = 8000\nretry_slack = 136.0\nretry_window_s = 10\n{more}\n")
}

#[test]
fn faults_name_the_line_the_key_and_what_is_allowed() {
    let cases = [
        VALID.replace("node = \"n\"\n", ""),
        VALID.replace("\"n\"", "\"a/b\""),
        VALID.replace("zone", "zones"),
        VALID.replace("\"127.0.0.1:4\"", "4"),
        VALID.replace("127.0.0.1:4", "platform.example:80"),
        VALID.replace("127.0.0.1:2", "127.0.0.1:1"),
        format!("{VALID}[limits]\nrequests = 0\n"),
        format!("{VALID}[limits]\nrequests = 10\nconsent_requests = 10\n"),
        format!("{VALID}[limits]\nbatch_percent = 101\n"),
        format!("{VALID}[limits]\nrequest = 10\n"),
        format!("{VALID}[repair]\nload_seconds = 0.0\n"),
        format!("{VALID}[repair]\nrestart_share = 1.5\n"),
        format!("{VALID}[repair]\nprobe_ms = 5000\n"),
        format!("{VALID}[stop]\nlinger_ms = \"long\"\n"),
        format!("{VALID}[policy]\nchoice = \"best\"\n"),
        format!("{VALID}[policy]\nfar_cost = 1.5\n"),
        site(""),
        site("ready = \"ready.example\""),
        site("ready = \"127.0.0.1:5\"\nchanges = \"127.0.0.1:6\"\nretry_ratio = 2.0"),
        site("ready = \"127.0.0.1:5\"\nchanges = \"127.0.0.1:6\"\nretry_ratio = 0.2\nlinger = 1"),
        site("ready = \"127.0.0.1:5\"\nchanges = \"127.0.0.1:6\"\nretry_ratio = 0.2")
            .replace("8000", "5000"),
    ];
    let rendered: Vec<String> =
        cases.iter().map(|text| Settings::from_toml(text).expect_err(text).to_string()).collect();
    insta::assert_snapshot!(rendered.join("\n"));
}

#[test]
fn the_daemon_checks_settings_without_starting() {
    struct Case {
        text: String,
        code: i32,
        message: &'static str,
    }
    let cases = [
        Case { text: VALID.to_owned(), code: 0, message: "the settings are sound" },
        Case { text: format!("{VALID}port = 1\n"), code: 1, message: "line 9: key `port`" },
    ];
    let file = std::env::temp_dir().join(format!("cherrystand-check-{}.toml", std::process::id()));
    for case in cases {
        std::fs::write(&file, &case.text).expect("a file");
        let out = Command::new(env!("CARGO_BIN_EXE_cherrystandd"))
            .args(["--check", "--settings"])
            .arg(&file)
            .output()
            .expect("the daemon");
        let text = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
        assert_eq!(out.status.code(), Some(case.code), "{text}");
        assert!(text.contains(case.message), "{text}");
        assert!(text.contains(&file.display().to_string()), "{text}");
    }
    std::fs::remove_file(&file).expect("removed");
}

/// Lists the keys that a page documents, which are in backticks in the first cell of each table row.
fn documented(page: &str) -> Vec<String> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

#[test]
fn the_page_on_settings_lists_every_key_and_no_other() {
    let page = include_str!("../../../docs/operators/settings.md");
    let (daemon, groups) = page.split_once("## Serving groups").expect("two parts");
    let unknown = "no_such_key = 1\n";
    let tables = [
        ("", format!("{unknown}{VALID}")),
        ("listen.", VALID.replace("[platform]", &format!("{unknown}[platform]"))),
        ("platform.", format!("{VALID}{unknown}")),
        ("limits.", format!("{VALID}[limits]\n{unknown}")),
        ("repair.", format!("{VALID}[repair]\n{unknown}")),
        ("stop.", format!("{VALID}[stop]\n{unknown}")),
        ("site.", format!("{VALID}[site]\n{unknown}")),
        ("policy.", format!("{VALID}[policy]\n{unknown}")),
        ("testing.", format!("{VALID}[testing]\n{unknown}")),
    ];
    let mut keys: Vec<String> = Vec::new();
    for (table, text) in tables {
        let err = Settings::from_toml(&text).expect_err("an unknown key").to_string();
        keys.extend(expected_keys(&err).into_iter().map(|key| format!("{table}{key}")));
    }
    let sections = ["listen", "platform", "limits", "repair", "stop", "site", "policy", "testing"];
    keys.retain(|key| !sections.contains(&key.as_str()));
    assert_eq!(sorted(documented(daemon)), sorted(keys));

    let mut keys: Vec<String> = Vec::new();
    let tables = [
        ("", format!("workspace = \"w\"\n{unknown}")),
        ("model.", format!("workspace = \"w\"\n[[model]]\n{unknown}")),
        ("service.", format!("workspace = \"w\"\n[[service]]\n{unknown}")),
        (
            "service.endpoints.",
            "workspace = \"w\"\n[[service]]\nendpoints = [{ no_such_key = 1 }]\n".to_owned(),
        ),
    ];
    for (table, text) in tables {
        let err = cherrystand_core::WorkspaceConfig::from_toml(&text).expect_err("an unknown key");
        let expected = expected_keys(&err.to_string());
        keys.extend(expected.into_iter().map(|key| format!("{table}{key}")));
    }
    keys.retain(|key| key != "model" && key != "service");
    assert_eq!(sorted(documented(groups)), sorted(keys));
}

/// Returns the keys that an error about an unknown key lists as expected.
fn expected_keys(message: &str) -> Vec<String> {
    let (_, list) = message.split_once("expected").expect("a list of keys");
    list.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn sorted(mut keys: Vec<String>) -> Vec<String> {
    keys.sort();
    keys
}

#[test]
fn the_page_on_metrics_lists_every_metric_and_reason() {
    let page = include_str!("../../../docs/operators/metrics.md");
    let metrics = cherrystandd::Metrics::new().expect("metrics");
    let text = String::from_utf8(metrics.render().expect("text")).expect("UTF-8");
    let names = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    for name in names.filter_map(|line| line.split(' ').next()) {
        assert!(page.contains(&format!("`{name}`")), "{name} is not explained");
    }
    let reasons = cherrystand_core::RefusalReason::ALL.map(|reason| reason.as_str());
    let withheld = cherrystand_core::NoRetry::ALL.map(|reason| reason.as_str());
    let ends = cherrystand_core::AttemptEnd::ALL.map(|end| end.as_str());
    for word in reasons.into_iter().chain(withheld).chain(ends) {
        assert!(page.contains(&format!("`{word}`")), "{word} is not explained");
    }
}
