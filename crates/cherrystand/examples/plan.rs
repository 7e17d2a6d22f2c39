//! Computes what a configuration would change, without a daemon.

use cherrystand::{
    BoxId, BoxInfo, BoxesByReplica, DomainId, Fleet, PlanId, WorkspaceConfig, WorkspaceRecord,
    ZoneId, make_plan,
};

const CONFIG: &str = r#"
    workspace = "photo"
    [[model]]
    name = "captions"
    model = "captioner"
    version = "1"
    replicas = 2
    boxes_per_replica = 4
"#;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let config = WorkspaceConfig::from_toml(CONFIG)?;
    let fleet = Fleet::new((0..10).map(|number| BoxInfo {
        id: BoxId::new(format!("box-{number}")),
        domain: DomainId::new("hall-1"),
        zone: ZoneId::new("amman-a"),
        address: ([127, 0, 0, 1], 7_200 + number).into(),
        accelerators: 1,
        leaving: false,
        checks_orders: true,
    }));
    let record = WorkspaceRecord::empty(config.workspace.clone());
    let plan = make_plan(PlanId::new("example"), &record, config, &fleet, &BoxesByReplica::new())?;
    for change in &plan.changes {
        println!("{change}");
    }
    Ok(())
}
