//! End-to-end tests with real processes: answers, refusals, invalid input and the command line.

mod support;

use std::io::Write;
use std::net::TcpStream;

use cherrystand_testkit::{Prompt, Verdict, check_answer, check_stream};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use support::{Cluster, Setup, model_body, run};

fn prompt(text: &str, tokens: u64, stream: bool) -> Prompt {
    let text = text.to_owned();
    Prompt { text, tokens, stream, model: "m".to_owned(), chat: true }
}

#[test]
fn every_daemon_relays_complete_answers() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        for daemon in 0..cluster.daemons.len() {
            for stream in [false, true] {
                let text = format!("daemon {daemon}");
                let answer =
                    cluster.send_model_request(daemon, &text, 5, stream).await.expect("an answer");
                assert_eq!(answer.headers()["cherrystand-outcome"], "ran");
                let body = answer.into_body().collect().await.expect("a body").to_bytes();
                let expected = prompt(&text, 5, stream);
                let verdict = if stream {
                    check_stream(&expected, &body)
                } else {
                    check_answer(&expected, &body)
                };
                assert_eq!(verdict, Verdict::Complete);
            }
        }
    });
}

struct InvalidInput {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    reason: &'static str,
}

fn invalid_inputs() -> Vec<InvalidInput> {
    let chat = "/v1/chat/completions";
    let case = |name, path, headers, body: &str, status, reason| InvalidInput {
        name,
        method: Method::POST,
        path,
        headers,
        body: body.to_owned(),
        status,
        reason,
    };
    vec![
        case("no JSON", chat, &[], "{", 400, "bad-request"),
        case("no model", chat, &[], "{\"messages\":[]}", 400, "bad-request"),
        case("no prompt", chat, &[], "{\"model\":\"m\"}", 400, "bad-request"),
        case(
            "unknown model",
            chat,
            &[],
            "{\"model\":\"x\",\"messages\":[]}",
            404,
            "unknown-target",
        ),
        case("unknown path", "/nowhere", &[], "", 404, "unknown-target"),
        case(
            "a path that starts with the same letters",
            "/consentient",
            &[],
            "",
            404,
            "unknown-target",
        ),
        case(
            "a deadline that isn't a number",
            "/consent/1",
            &[("cherrystand-deadline-ms", "soon")],
            "",
            400,
            "bad-request",
        ),
        case("an empty key", "/consent/1", &[("idempotency-key", "")], "", 400, "bad-request"),
        case("an empty id", "/consent/1", &[("x-request-id", "")], "", 400, "bad-request"),
        case(
            "a deadline that has passed",
            "/consent/1",
            &[("cherrystand-deadline-ms", "0")],
            "",
            504,
            "deadline-passed",
        ),
        InvalidInput {
            name: "a request to a model with GET",
            method: Method::GET,
            path: chat,
            headers: &[],
            body: String::new(),
            status: 400,
            reason: "bad-request",
        },
        InvalidInput {
            name: "a body over the limit",
            method: Method::POST,
            path: "/consent/1",
            headers: &[],
            body: "x".repeat((8 << 20) + 1),
            status: 413,
            reason: "too-large",
        },
    ]
}

#[test]
fn invalid_input_is_refused_with_a_reason_and_nothing_is_run() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
        let daemon = cluster.daemons[0].callers;
        for case in invalid_inputs() {
            let answer =
                cluster.send(daemon, case.method, case.path, case.headers, &case.body).await;
            let answer = answer.expect(case.name);
            assert_eq!(answer.status.as_u16(), case.status, "{}: {answer:?}", case.name);
            let expected = (String::from("not-run"), case.reason.to_owned());
            assert_eq!(answer.outcome_and_reason(), expected, "{}", case.name);
        }
        assert!(cluster.service_executions().await.is_empty());
    });
}

#[test]
fn garbage_on_any_port_does_not_affect_other_connections() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 2, ..Setup::default() }).await;
        let daemon = &cluster.daemons[0];
        // An SP header that announces a request, then a message that isn't one.
        let sp_header = [0, b'S', b'P', 0, 0, 0x30, 0, 0];
        let message = [&8_u64.to_be_bytes()[..], &[0x80, 0, 0, 1, 0xff, 0xff, 0xff, 0xff]].concat();
        for port in [daemon.callers, daemon.operators, daemon.peers] {
            for bytes in [&[0_u8; 4096][..], b"GET / HTTP/9.9\r\n\r\n", &sp_header, &message] {
                let mut stream = TcpStream::connect(port).expect("a connection");
                // The daemon may close the connection at once.
                let _ = stream.write_all(bytes);
            }
        }
        let mut peer = TcpStream::connect(daemon.peers).expect("a connection");
        peer.write_all(&[&sp_header[..], &message].concat()).expect("written");
        tokio::time::sleep(std::time::Duration::from_millis(600)).await;
        for number in 0..cluster.daemons.len() {
            let answer = cluster.send_model_request(number, "still there", 2, false).await;
            assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
        }
        let reaches_both = || async { cluster.reachable_daemons(0).await == 2 };
        cluster.wait_until("the daemons reach each other", reaches_both).await;
    });
}

#[test]
fn every_daemon_answers_a_claimed_key_with_its_outcome() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        let key = [("idempotency-key", "story-1")];
        let first = cluster.daemons[0].callers;
        let sent = cluster.send(first, Method::POST, "/consent/story", &key, "once").await;
        assert_eq!(sent.expect("an answer").status, StatusCode::OK);
        let resend = |daemon: usize| {
            let at = cluster.daemons[daemon].callers;
            cluster.send(at, Method::POST, "/consent/story", &key, "once")
        };
        for daemon in 0..3 {
            let is_recorded = || async {
                let answered = resend(daemon).await.expect("an answer").outcome_and_reason();
                answered == ("ran".to_owned(), "key-in-use".to_owned())
            };
            cluster.wait_until("the claim says that the call ran", is_recorded).await;
        }
        assert_eq!(cluster.service_executions().await["story-1"], 1);
    });
}

#[test]
fn the_exit_code_of_the_command_tells_its_outcome() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        let first = cluster.plan(&cluster.default_config(2, "2", "/consent"));
        let second = cluster.plan(&cluster.default_config(2, "3", "/consent"));
        struct Case<'a> {
            args: Vec<&'a str>,
            code: i32,
            output: &'a str,
        }
        let bad = cluster.write_file("bad.toml", "workspace = \"w\"\nworkspaces = 2\n");
        let big = cluster.write_file("big.toml", &cluster.default_config(9, "1", "/consent"));
        let cases = [
            Case { args: vec!["status"], code: 0, output: "w/g" },
            Case { args: vec!["plan", "/no/such/file"], code: 1, output: "cannot be read" },
            Case {
                args: vec!["plan", &bad],
                code: 2,
                output: "line 2: key `workspaces`: unknown field",
            },
            Case { args: vec!["plan", &big], code: 2, output: "needs 2 free boxes in one domain" },
            Case { args: vec!["confirm", "w.00000000"], code: 2, output: "is not pending" },
            Case { args: vec!["confirm", &first], code: 0, output: "accepted as generation 2" },
            Case { args: vec!["confirm", &second], code: 3, output: "made it 2 first" },
            Case { args: vec!["explain", "w/g/0"], code: 0, output: "every member acknowledged" },
            Case {
                args: vec!["explain", "nothing"],
                code: 2,
                output: "there is no replica or request",
            },
            Case { args: vec!["history"], code: 0, output: "w generation 2" },
        ];
        for case in cases {
            let out = cluster.cli(&case.args);
            let text = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
            assert_eq!(out.status.code(), Some(case.code), "{:?}: {text}", case.args);
            assert!(text.contains(case.output), "{:?}: {text}", case.args);
        }
        let unused = "127.0.0.1:1".parse().expect("an address");
        assert_eq!(cluster.cli_at(unused, &["status"]).status.code(), Some(4));
    });
}

#[test]
fn an_operator_can_look_up_the_decisions_on_a_request() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
        let daemon = cluster.daemons[0].callers;
        let id = [("x-request-id", "ask-me")];
        let body = model_body("why", 2, false);
        let sent = cluster.send(daemon, Method::POST, "/v1/chat/completions", &id, &body).await;
        assert_eq!(sent.expect("an answer").header("x-request-id"), "ask-me");
        let out = cluster.cli(&["explain", "ask-me"]);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(text.contains("request ask-me to w/g: ran"), "{text}");
        assert!(text.contains("answered"), "{text}");
    });
}
