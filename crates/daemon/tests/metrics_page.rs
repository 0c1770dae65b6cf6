//! The page of metrics.

use bluebell_daemon::ops::{self, OpsSource, ReadyState};
use prometheus::{Histogram, HistogramOpts, IntCounter, Registry};
use rocket::local::asynchronous::Client;

/// Guards against counters that a scraper does not get, because it keeps only the start of
/// the page and the histograms fill it.
#[tokio::test]
async fn counters_precede_histograms_on_the_page_of_metrics() {
    let registry = Registry::new();
    let latency = Histogram::with_opts(HistogramOpts::new("a_latency", "latency")).unwrap();
    let retries = IntCounter::new("b_retries", "retries").unwrap();
    registry.register(Box::new(latency)).unwrap();
    registry.register(Box::new(retries)).unwrap();
    let source = OpsSource::new(registry, || ReadyState::Ready, || serde_json::json!({}));
    let client = Client::tracked(ops::mount(rocket::build(), source)).await;
    let client = client.unwrap();
    let page = client.get("/metrics").dispatch().await;
    let page = page.into_string().await.unwrap();
    let counter = page.find("b_retries 0");
    let histogram = page.find("a_latency_bucket");
    assert!(counter.is_some() && counter < histogram, "{page}");
}
