// The library of JSON, compiled into the cases.
#include <boost/json/src.hpp>
