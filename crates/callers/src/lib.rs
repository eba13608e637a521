//! The callers' side: address answers, requests and their outcomes.
