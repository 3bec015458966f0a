//! Spans: one for each hop of a request, linked across processes by W3C `traceparent` headers.

use http::HeaderMap;
use opentelemetry::{
    Context, KeyValue, global,
    trace::{SpanKind, Status, TraceContextExt, Tracer},
};
use opentelemetry_http::{HeaderExtractor, HeaderInjector};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    propagation::TraceContextPropagator,
    runtime::Tokio,
    trace::{SdkTracerProvider, span_processor_with_async_runtime::BatchSpanProcessor},
};

use crate::id::Vm;

pub type Result<T> = anyhow::Result<T>;

const SERVICE: &str = "bulrushspread";

/// Sends spans to the collector at `otlp`, or nowhere. The result must be kept until the end.
pub fn start(otlp: Option<&str>, vm: &Vm) -> Result<Option<SdkTracerProvider>> {
    global::set_text_map_propagator(TraceContextPropagator::new());
    let Some(otlp) = otlp else { return Ok(None) };
    let endpoint = format!("{}/v1/traces", otlp.trim_end_matches('/'));
    let exporter = SpanExporter::builder().with_http().with_endpoint(endpoint).build()?;
    let resource = Resource::builder()
        .with_service_name(SERVICE)
        .with_attribute(KeyValue::new("host.name", vm.to_string()))
        .build();
    let provider = SdkTracerProvider::builder()
        .with_span_processor(BatchSpanProcessor::builder(exporter, Tokio).build())
        .with_resource(resource)
        .build();
    global::set_tracer_provider(provider.clone());
    Ok(Some(provider))
}

/// The context that the sender of a request put into its headers.
pub fn extract(headers: &HeaderMap) -> Context {
    global::get_text_map_propagator(|propagator| propagator.extract(&HeaderExtractor(headers)))
}

/// Puts the context into the headers of a request.
pub fn inject(context: &Context, headers: &mut HeaderMap) {
    global::get_text_map_propagator(|propagator| {
        propagator.inject_context(context, &mut HeaderInjector(headers));
    });
}

/// Starts the span of one hop below `parent`. It ends when the returned context is dropped.
pub fn hop(name: &'static str, kind: SpanKind, parent: &Context) -> Context {
    let tracer = global::tracer(SERVICE);
    let span = tracer.span_builder(name).with_kind(kind).start_with_context(&tracer, parent);
    parent.with_span(span)
}

/// Marks the span of `context` as failed.
pub fn fail(context: &Context, reason: &str) {
    context.span().set_status(Status::error(reason.to_string()));
}
