//! The operators' side: configuration documents and their checks, dumps and metrics.
