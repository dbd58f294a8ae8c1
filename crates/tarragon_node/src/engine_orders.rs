//! Orders to owned engines, and their reports.

use crate::{attribution, engines::EngineDriver, events::Event, node::SharedNode};
use rail_place::owner::{OrderKind, OrderResult, OwnerReport};
use rail_site::engine::{
    EngineOrder, EngineReport, OrderOutcome, OrderPreconditions, decode_report, order_outcome,
    order_request, report_request,
};
use rail_upstream::SendError;
use std::{rc::Rc, time::Duration};

/// Timeout of a report request to an engine.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of an order to an engine. It can be short, since a repeated order has no effect:
/// each order names the number of orders accepted before it, and the engine accepts only one order
/// for each number.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after an order that got no response or was not sent.
const ORDER_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest idle time after which a connection is reused for orders and reports.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(2);
/// Largest accepted response of an engine in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Sends an order and reports its result to the owner.
pub async fn execute_order(
    node: SharedNode,
    driver: Rc<EngineDriver>,
    order: OrderKind,
    expected: u64,
) {
    let result = send_order(&node, &driver, &order, expected).await;
    if matches!(result, OrderResult::Unknown | OrderResult::NotSent) {
        tokio::time::sleep(ORDER_RETRY_PAUSE).await;
    }
    driver.owner.borrow_mut().finish_order(result, node.now());
    driver.wake.notify_one();
}

async fn send_order(
    node: &SharedNode,
    driver: &EngineDriver,
    order: &OrderKind,
    expected: u64,
) -> OrderResult {
    let address = node.upstreams.borrow().find(&driver.id).map(|upstream| upstream.address);
    let (Some(address), Some(fence)) = (address, node.current_fence(&driver.id)) else {
        return OrderResult::NotSent;
    };
    let preconditions = OrderPreconditions {
        holder: &node.settings.host,
        fence,
        expected_order_count: Some(expected),
        upstream_id: &driver.id,
    };
    let room = driver.owner.borrow().room(node.now());
    let request = order_request(&address.to_string(), &requested_order(order), &preconditions);
    let exchange = async {
        let mut response = node.links.send(address, request, MAX_CONNECTION_IDLE).await?;
        if !attribution::is_own(&mut response) {
            return Ok(None);
        }
        let outcome = order_outcome(response.head.status);
        if response.read(MAX_REPORT_BYTES).await.is_ok() {
            response.return_connection();
        }
        Ok::<_, SendError>(Some(outcome))
    };
    let (result, outcome) = match tokio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Err(_) | Ok(Err(SendError::Lost)) => (OrderResult::Unknown, "no_answer"),
        Ok(Err(SendError::NotSent)) => (OrderResult::NotSent, "not_sent"),
        Ok(Ok(None)) => (OrderResult::Unknown, "other_answer"),
        Ok(Ok(Some(outcome))) => match outcome {
            OrderOutcome::Accepted if matches!(order, OrderKind::Unload(_)) => {
                (OrderResult::Pending, "accepted")
            }
            OrderOutcome::Completed if matches!(order, OrderKind::Load(..)) => {
                (OrderResult::Held, "holds")
            }
            OrderOutcome::Accepted => (OrderResult::Accepted, "accepted"),
            OrderOutcome::Completed => (OrderResult::Accepted, "holds"),
            OrderOutcome::Conflict => (OrderResult::Conflict, "conflict"),
            OrderOutcome::Fenced => (OrderResult::Refused, "fenced"),
            OrderOutcome::OtherUpstream => (OrderResult::Refused, "other_upstream"),
            OrderOutcome::Refused(_) => (OrderResult::Refused, "refused"),
        },
    };
    node.metrics.orders.count(outcome);
    let (name, subject, version) = match order {
        OrderKind::LoadModel(model) => ("load_model", model, None),
        OrderKind::Load(path, version) => ("load", path, *version),
        OrderKind::Unload(path) => ("unload", path, None),
    };
    node.events.routine(&Event::Order {
        engine: &driver.id,
        order: name,
        subject,
        version,
        expected,
        fence,
        outcome,
        occupied: room.occupied,
        proven: room.proven,
        report_age_ms: room.report_age.map(|age| age.as_millis() as u64),
    });
    result
}

fn requested_order(order: &OrderKind) -> EngineOrder {
    let split_path = |path: &str| {
        let (model, adapter) = path.split_once('/').unwrap_or((path, ""));
        (model.to_owned(), adapter.to_owned())
    };
    match order {
        OrderKind::LoadModel(model) => EngineOrder::LoadModel { model: model.clone() },
        OrderKind::Load(path, version) => {
            let (model, adapter) = split_path(path);
            EngineOrder::LoadAdapter { model, adapter, version: *version }
        }
        OrderKind::Unload(path) => {
            let (model, adapter) = split_path(path);
            EngineOrder::UnloadAdapter { model, adapter }
        }
    }
}

/// Fetches a report of the engine and passes it to the owner.
pub async fn update_from_report(node: SharedNode, driver: Rc<EngineDriver>) {
    let requested_at = node.now();
    let report = fetch_report(&node, &driver).await;
    let now = node.now();
    let mut owner = driver.owner.borrow_mut();
    match report {
        Some(report) => {
            drop(owner);
            driver.record_engine_start(report.started_unix_ms);
            owner = driver.owner.borrow_mut();
            owner.apply_report(&summarize(&report), requested_at, now);
        }
        None => owner.record_report_failure(now),
    }
    driver.wake.notify_one();
}

async fn fetch_report(node: &SharedNode, driver: &EngineDriver) -> Option<EngineReport> {
    let address = node.upstreams.borrow().find(&driver.id)?.address;
    let request = report_request(&address.to_string());
    let exchange = async {
        let mut response = node.links.send(address, request, MAX_CONNECTION_IDLE).await.ok()?;
        if !attribution::is_own(&mut response) {
            return None;
        }
        let body = response.read_json(MAX_REPORT_BYTES).await.ok()?;
        let report = decode_report(&body).ok()?;
        response.return_connection();
        Some(report)
    };
    tokio::time::timeout(REPORT_TIMEOUT, exchange).await.ok()?
}

fn summarize(report: &EngineReport) -> OwnerReport {
    let resident_adapters = report.resident_models.iter().flat_map(|resident| {
        let path = |name: &str| format!("{}/{name}", resident.model);
        resident.adapters.iter().map(move |(name, version)| (path(name), *version))
    });
    OwnerReport {
        models: report.resident_models.iter().map(|resident| resident.model.clone()).collect(),
        adapters: resident_adapters.chain(report.loading.iter().cloned()).collect(),
        accepted_orders: report.accepted_orders,
        is_busy: report.is_busy,
    }
}
