//! Formats answers as text and tables for the terminal.

use serde_json::Value;

use crate::args::Command;

/// Formats the answer to a command as text.
pub(crate) fn to_text(command: &Command, value: &Value) -> String {
    let text = match command {
        Command::Plan(_) => plan(value),
        Command::Plans(_) => {
            let plans: Vec<String> = items(value).map(plan).collect();
            if plans.is_empty() { "no plan is pending".to_owned() } else { plans.join("\n") }
        }
        Command::Confirm(_) => {
            format!(
                "accepted as generation {} ({})",
                field(value, "generation"),
                field(value, "plan")
            )
        }
        Command::Status(_) => status(value),
        Command::History(_) => history(value),
        Command::Explain(_) => explain(value),
        Command::Drain(_) => format!("{} starts to drain", field(value, "node")),
        Command::Get(_) => pretty(value),
        Command::Zones(_) => zones(value),
    };
    text.trim_end().to_owned()
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn field(value: &Value, key: &str) -> String {
    match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(Value::Array(all)) => {
            let texts: Vec<String> =
                all.iter().map(|item| item.as_str().unwrap_or_default().to_owned()).collect();
            texts.join(" ")
        }
        Some(other) => other.to_string(),
    }
}

fn plan(value: &Value) -> String {
    let mut text = format!(
        "plan {} for workspace {}, made from generation {}\n",
        field(value, "id"),
        field(value, "workspace"),
        field(value, "base"),
    );
    for change in items(&value["changes"]) {
        text.push_str(&format!("  {}\n", change.as_str().unwrap_or_default()));
    }
    for cost in items(&value["costs"]) {
        text.push_str(&format!(
            "  {}: {} replicas now, at least {} during the change, {} afterwards\n",
            field(cost, "group"),
            field(cost, "before"),
            field(cost, "least"),
            field(cost, "after"),
        ));
    }
    text.push_str(&format!(
        "nothing has changed yet; apply it with: cherrystand confirm {}\n",
        field(value, "id")
    ));
    text
}

fn status(value: &Value) -> String {
    let node = &value["node"];
    let mut text = format!(
        "as known by {} ({}): serves by {}, hears {} of {} daemons\n\n",
        field(node, "node"),
        field(node, "zone"),
        field(node, "serves_by").to_lowercase(),
        field(node, "heard"),
        field(node, "expected"),
    );
    for workspace in items(&value["workspaces"]) {
        text.push_str(&format!(
            "workspace {} at generation {}\n",
            field(workspace, "workspace"),
            field(workspace, "generation"),
        ));
        text.push_str(&table(
            &["group", "kind", "class", "wanted", "serving"],
            &workspace["groups"],
        ));
        text.push('\n');
    }
    let replicas = ["replica", "domain", "epoch", "phase", "serving", "load", "boxes", "why"];
    text.push_str(&table(&replicas, &value["replicas"]));
    text.push('\n');
    text.push_str(&table(&["box", "domain", "zone", "replica", "leaving"], &value["boxes"]));
    text.push('\n');
    text.push_str(&table(&["node", "zone", "standing", "serving"], &value["nodes"]));
    text
}

fn zones(value: &Value) -> String {
    let mut text = match items(&value["evacuated"]).next() {
        Some(_) => table(&["zone", "known_for_secs", "boxes"], &value["evacuated"]),
        None => "no zone is emptied\n".to_owned(),
    };
    text.push('\n');
    text.push_str(&match items(&value["cold"]).next() {
        Some(_) => table(&["box", "zone", "left_secs", "per_second"], &value["cold"]),
        None => "no endpoint is cold\n".to_owned(),
    });
    text
}

fn history(value: &Value) -> String {
    let mut text = String::new();
    for change in items(value) {
        let accepted = &change["accepted"];
        text.push_str(&format!(
            "{} generation {} by {} at {}\n",
            field(change, "workspace"),
            field(accepted, "generation"),
            field(accepted, "operator"),
            field(accepted, "at_unix_secs"),
        ));
        for line in items(&accepted["summary"]) {
            text.push_str(&format!("  {}\n", line.as_str().unwrap_or_default()));
        }
    }
    if text.is_empty() { "no change has been accepted yet".to_owned() } else { text }
}

fn explain(value: &Value) -> String {
    if value.get("decisions").is_some() {
        let mut text =
            format!("{} serving: {}\n", field(value, "replica"), field(value, "serving"));
        let keys = ["at_unix_secs", "epoch", "phase", "because", "prices"];
        text.push_str(&table(&keys, &value["decisions"]));
        return text;
    }
    let mut text = format!(
        "request {} to {}: {}, refused for: {}\n",
        field(value, "request"),
        field(value, "group"),
        field(value, "outcome"),
        field(value, "refusal"),
    );
    for attempt in items(&value["attempts"]) {
        text.push_str(&format!("  {}\n", field(&serde_json::json!({"a": attempt}), "a")));
    }
    text
}

fn table(keys: &[&str], rows: &Value) -> String {
    let mut lines: Vec<Vec<String>> = vec![keys.iter().map(|key| (*key).to_owned()).collect()];
    for row in items(rows) {
        lines.push(keys.iter().map(|key| field(row, key)).collect());
    }
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..keys.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        for (cell, width) in line.iter().zip(&widths) {
            text.push_str(&format!("{cell:width$}  "));
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}
