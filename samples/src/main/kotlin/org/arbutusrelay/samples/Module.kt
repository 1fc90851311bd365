package org.arbutusrelay.samples

internal const val MODULE_NAME: String = "samples"
