#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec target/review-3 12 review/12
