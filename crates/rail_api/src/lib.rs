//! Operator RPC schema and its committed generated code.
//!
//! The schema is `schema/operator.proto`; `rail_codegen` writes
//! `src/generated`, and CI checks that both agree. `tarragon_admin` serves
//! [`operator::operator_server::Operator`]; `tarragonctl` calls it through
//! [`operator::operator_client::OperatorClient`].

/// Messages, client and server of the operator interface.
#[expect(missing_docs, reason = "generated from the schema, which carries the documentation")]
#[expect(
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    reason = "generated code"
)]
#[path = "generated/tarragonrail.operator.v1.rs"]
pub mod operator;
