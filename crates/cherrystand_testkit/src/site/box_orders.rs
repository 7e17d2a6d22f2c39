//! How boxes of the stand-in carry out orders, and the checks for violations of the platform's rules.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde_json::Value;

use crate::BoxMode;
use crate::site::box_answers::{Answer, plain_answer};
use crate::site::site_box::{EndedLeader, Membership};
use crate::site::site_stand_in::SiteStandIn;

/// How long a box takes to join a replica.
const JOIN_TIME: Duration = Duration::from_millis(30);

impl SiteStandIn {
    pub(super) fn order(&self, id: &str, order: &Value) -> Answer {
        let served = self.leaders().contains_key(id);
        let status = self.apply_order(id, order);
        if served && status == StatusCode::ACCEPTED && order["operation"] != "open" {
            let ended = EndedLeader { target: id.to_owned(), at: Instant::now() };
            self.state.borrow_mut().ended_leaders.push(ended);
        }
        match status {
            StatusCode::ACCEPTED => self.write_own_entry(id),
            StatusCode::OK => {}
            _ => {
                let operation = order["operation"].as_str().unwrap_or_default().to_owned();
                let refused = (id.to_owned(), operation, status.as_u16());
                self.state.borrow_mut().refused_orders.push(refused);
            }
        }
        plain_answer(status, "")
    }

    pub(super) fn apply_order(&self, id: &str, order: &Value) -> StatusCode {
        let name = order["group"].as_str().unwrap_or_default().to_owned();
        let epoch = order["epoch"].as_u64().unwrap_or_default();
        if order["operation"] == "join" {
            self.check_join(id, &name, epoch);
        }
        let mut state = self.state.borrow_mut();
        let Some(site_box) = state.boxes.get_mut(id) else {
            return StatusCode::NOT_FOUND;
        };
        let fence = order["fence_token"].as_u64().unwrap_or_default();
        if fence < site_box.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        site_box.fence = fence;
        let model = order["model"].as_str().map(str::to_owned);
        let in_group = site_box
            .membership
            .as_ref()
            .is_some_and(|membership| membership.group == name && membership.epoch == epoch);
        match order["operation"].as_str().unwrap_or_default() {
            "stage" => site_box.staged = model,
            "join" if epoch < site_box.highest_epoch => return StatusCode::PRECONDITION_FAILED,
            "join" if in_group => return StatusCode::OK,
            "join" => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                if !members.iter().any(|member| member == id) {
                    return StatusCode::BAD_REQUEST;
                }
                let members = members.iter().filter_map(|id| id.as_str().map(str::to_owned));
                site_box.staged = model;
                site_box.highest_epoch = epoch;
                let members = members.collect();
                site_box.membership =
                    Some(Membership { group: name, epoch, members, state: "joining" });
                let (site, id) = (self.clone(), id.to_owned());
                tokio::task::spawn_local(async move { site.finish_join(&id, epoch).await });
            }
            _ if !in_group => return StatusCode::CONFLICT,
            "leave" => site_box.membership = None,
            "open" | "close" => {
                let is_open = order["operation"] == "open";
                if let Some(group) = site_box.membership.as_mut() {
                    group.state = if is_open { "open" } else { "ready" };
                }
            }
            _ => return StatusCode::BAD_REQUEST,
        }
        StatusCode::ACCEPTED
    }

    /// Records a violation if a join takes a box out of a replica whose leader still serves.
    pub(super) fn check_join(&self, id: &str, name: &str, epoch: u64) {
        let mut state = self.state.borrow_mut();
        let Some(site_box) = state.boxes.get(id) else { return };
        let Some(last) = site_box.membership.as_ref().filter(|_| epoch >= site_box.highest_epoch)
        else {
            return;
        };
        let leader = last.members.first().and_then(|leader| state.boxes.get(leader));
        let is_serving =
            leader.and_then(|leader| leader.membership.as_ref()).is_some_and(|group| {
                group.group == last.group && group.epoch == last.epoch && group.state == "open"
            });
        let is_other = last.group != name || last.epoch != epoch;
        let is_reachable = leader.is_some_and(|leader| leader.mode != BoxMode::Dark);
        if is_serving && is_other && is_reachable {
            let violation = format!(
                "{id} joined {name} under epoch {epoch} without leaving {} under epoch {}",
                last.group, last.epoch
            );
            state.violations.push(violation);
        }
    }

    /// Records a violation if a leader runs a request although a member of its replica was never ready.
    pub(super) fn check_run(&self, leader: &str) {
        let mut state = self.state.borrow_mut();
        let Some(group) = state.boxes.get(leader).and_then(|site_box| site_box.membership.clone())
        else {
            return;
        };
        let was_ready = |id: &String| {
            state.ever_ready.contains(&(group.group.clone(), group.epoch, id.clone()))
        };
        if let Some(id) = group.members.iter().find(|id| !was_ready(id)) {
            let violation =
                format!("{leader} ran a request although {id} was never ready in {}", group.group);
            state.violations.push(violation);
        }
    }

    pub(super) async fn finish_join(&self, id: &str, epoch: u64) {
        tokio::time::sleep(JOIN_TIME).await;
        let mut state = self.state.borrow_mut();
        if let Some(site_box) = state.boxes.get_mut(id)
            && let Some(group) = site_box.membership.as_mut().filter(|group| group.epoch == epoch)
        {
            group.state = "ready";
            let member = (group.group.clone(), epoch, id.to_owned());
            state.ever_ready.insert(member);
        }
        drop(state);
        self.write_own_entry(id);
    }

    /// Tells whether the replica that a box leads still has all its members.
    pub(super) fn is_complete(&self, leader: &str) -> bool {
        let state = self.state.borrow();
        let Some(group) = state.boxes.get(leader).and_then(|site_box| site_box.membership.clone())
        else {
            return false;
        };
        if state.restarted.contains(&(group.group.clone(), group.epoch)) {
            return false;
        }
        group.members.iter().all(|id| {
            let member = state
                .boxes
                .get(id)
                .filter(|site_box| !matches!(site_box.mode, BoxMode::Dark | BoxMode::Silent));
            let membership = member.and_then(|site_box| site_box.membership.as_ref());
            membership.is_some_and(|membership| {
                membership.group == group.group && membership.epoch == group.epoch
            })
        })
    }
}
