# Libraries, all from Debian packages (the list is in .ci/run).

find_package(absl REQUIRED)
find_package(fmt REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Threads REQUIRED)
